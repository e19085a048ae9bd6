//! Checks that frames are decoded as they were encoded, and that other bytes are refused.

use curlewcleat_core::{
    DaemonId, DiscoveredTarget, PeerFrame, PeerMessage, PermitId, PermitRequest, RequestId,
    StatePull, TargetChange, TargetEntry, TargetInstancesPush, TargetStart, TargetsContent,
    TargetsPush,
};
use curlewcleat_peers::{decode_frame, encode_frame, Error};
use proptest::prelude::*;

fn frame(vm: String, incarnation: u64, tier: u8, work: u64) -> PeerFrame {
    let request = PermitRequest {
        permit: PermitId { request: RequestId::from_u128(u128::from(work)), attempt: 1 },
        pool: "pool".to_string(),
        tier,
        account: vm.clone(),
        cost: 1,
        objectives: curlewcleat_core::LatencyObjectives::default(),
        time_left: std::time::Duration::from_millis(work % 1_000_000),
        prompt_work: work,
        output_work: work / 2,
        prefix: Some(work),
        avoid: vec![vm.clone()],
        version: None,
    };
    let pull = StatePull { generation: work, table: incarnation };
    let messages = vec![PeerMessage::PermitRequest(request), PeerMessage::StatePull(pull)];
    PeerFrame { from: DaemonId { vm, incarnation }, messages }
}

/// Without the start, a daemon could not distinguish an engine that restarted under its id from the earlier instance.
#[test]
fn starts_of_targets_survive_encoding() {
    let target = |id: &str, start: Option<u64>| DiscoveredTarget {
        pool: "p".to_string(),
        entry: TargetEntry {
            id: id.to_string(),
            start: start.map(TargetStart),
            ..TargetEntry::default()
        },
        leaving: false,
        warm_up: None,
    };
    let changes = vec![
        TargetChange::Present(target("a", Some(5))),
        TargetChange::Gone("b".to_string()),
        TargetChange::Present(target("c", None)),
        TargetChange::Present(target("a", Some(6))),
    ];
    let all = TargetsContent::All(vec![target("a", Some(5)), target("c", None)]);
    for content in [TargetsContent::Since(3, changes), all] {
        let push = TargetsPush { content, at: 9 };
        let message = PeerMessage::TargetInstancesPush(TargetInstancesPush::new(push.clone()));
        let from = DaemonId { vm: "vm".to_string(), incarnation: 1 };
        let frame = PeerFrame { from, messages: vec![message] };
        let mut decoded = decode_frame(&encode_frame(&frame).expect("encodes")).expect("decodes");
        let Some(PeerMessage::TargetInstancesPush(instances)) = decoded.messages.pop() else {
            panic!()
        };
        assert_eq!(instances.into_push(), push);
    }
}

proptest! {
    #[test]
    fn decoded_frame_equals_the_encoded_one(vm in ".{0,20}", incarnation: u64, tier: u8, work: u64) {
        let frame = frame(vm, incarnation, tier, work);
        prop_assert_eq!(decode_frame(&encode_frame(&frame).expect("encodes")), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(frame) = decode_frame(&bytes) {
            prop_assert_eq!(decode_frame(&encode_frame(&frame).expect("encodes")), Ok(frame));
        }
    }

    #[test]
    fn truncated_and_extended_frames_are_refused(work: u64, cut in 1usize..40) {
        let bytes = encode_frame(&frame("vm".to_string(), 1, 0, work)).expect("encodes");
        prop_assert!(decode_frame(&bytes[..bytes.len().saturating_sub(cut)]).is_err());
        let longer = [bytes, vec![0; cut]].concat();
        prop_assert_eq!(decode_frame(&longer), Err(Error::Surplus(cut)));
    }
}
