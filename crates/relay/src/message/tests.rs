//! The bytes of the messages, which daemons of different builds exchange.

use curlewcleat_core::{DaemonId, RequestId, TargetEntry};
use rstest::rstest;

use super::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A change of the order of fields would make daemons of other builds connect to something else.
#[test]
fn request_keeps_its_bytes() {
    let request = RelayRequest {
        from: DaemonId { vm: "vm-1".to_string(), incarnation: 7 },
        request: Some(RequestId::from_u128(1)),
        pool: "p".to_string(),
        target: TargetEntry {
            id: "t".to_string(),
            address: "10.0.0.1:80".to_string(),
            vm: "v".to_string(),
            data_centre: "d".to_string(),
            slots: 4,
            ..TargetEntry::default()
        },
        time_limit: Duration::from_millis(250),
    };
    let bytes = postcard::to_stdvec(&request).expect("encoded");
    assert_eq!(hex(&bytes), "04766d2d3107011000000000000000000000000000000001017001740b31302e302e302e313a383001760164040080e59a77");
    assert_eq!(postcard::from_bytes(&bytes), Ok(request));
}

#[rstest]
#[case::connected(RelayReply::Connected, "00")]
#[case::unknown_peer(RelayReply::Refused(RelayRefusal::UnknownPeer), "0100")]
#[case::full(RelayReply::Refused(RelayRefusal::Full), "0101")]
#[case::draining(RelayReply::Refused(RelayRefusal::Draining), "0102")]
#[case::unknown_target(RelayReply::Refused(RelayRefusal::UnknownTarget), "0103")]
#[case::target_stopped(RelayReply::Refused(RelayRefusal::TargetStopped), "0104")]
#[case::link_lost(RelayReply::Refused(RelayRefusal::LinkLost), "0105")]
#[case::target_unreachable(RelayReply::Refused(RelayRefusal::TargetUnreachable), "0106")]
fn reply_keeps_its_bytes(#[case] reply: RelayReply, #[case] bytes: &str) {
    assert_eq!(hex(&postcard::to_stdvec(&reply).expect("encoded")), bytes);
}

#[test]
fn parts_keep_their_first_byte() {
    assert_eq!(hex(&RelayPart::encode_data(b"a")), "0061");
    assert_eq!(hex(&RelayPart::encode_end(false)), "01");
    assert_eq!(hex(&RelayPart::encode_end(true)), "02");
}
