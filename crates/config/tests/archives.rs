//! Tests of the compressed form in which daemons exchange configurations.

use curlewcleat_config::{ArchiveError, ConfigArchive};
use curlewcleat_core::{ArchiveId, ConfigBundle};
use proptest::prelude::*;

/// Fetches all parts of an archive in order, as a peer does.
fn fetch_parts(archive: &ConfigArchive) -> Vec<u8> {
    let mut bytes = Vec::new();
    while let Some(part) = archive.part(bytes.len() as u32) {
        assert_eq!(part.archive, archive.id());
        assert!(part.bytes.len() <= 64 << 10);
        bytes.extend_from_slice(&part.bytes);
    }
    bytes
}

proptest! {
    #[test]
    fn fetched_parts_unpack_to_the_packed_configuration(
        generation in 1u64..,
        files in prop::collection::btree_map("[a-z]{1,8}", "(?s).{0,200}", 0..4),
        repeated in 0usize..2_000,
    ) {
        let mut bundle = ConfigBundle { generation, files };
        bundle.files.insert("long".to_string(), "[rule r]\npath = /x\n".repeat(repeated));
        let archive = ConfigArchive::pack(&bundle).expect("configuration packs");
        let repacked = ConfigArchive::pack(&bundle).expect("configuration packs");
        prop_assert_eq!(archive.id(), repacked.id());
        let unpacked = ConfigArchive::unpack(archive.id(), &fetch_parts(&archive)).expect("archive unpacks");
        prop_assert_eq!(unpacked, bundle);
    }

    #[test]
    fn arbitrary_bytes_are_an_error_and_never_panic(
        id in (any::<u64>(), any::<u32>(), any::<u32>()),
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let (generation, length, checksum) = id;
        let result = ConfigArchive::unpack(ArchiveId { generation, length, checksum }, &bytes);
        prop_assert!(result.is_err());
    }
}

#[test]
fn changed_byte_is_a_checksum_error() {
    let files = [("a.ini".to_string(), "[tier a]\nrank = 0\n".to_string())].into();
    let archive =
        ConfigArchive::pack(&ConfigBundle { generation: 4, files }).expect("configuration packs");
    let mut bytes = fetch_parts(&archive);
    bytes[3] ^= 1;
    let result = ConfigArchive::unpack(archive.id(), &bytes);
    assert!(matches!(result, Err(ArchiveError::Checksum)), "{result:?}");
}
