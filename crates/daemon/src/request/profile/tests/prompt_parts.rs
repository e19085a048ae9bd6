//! Tests which parts of a prompt are read as features of its request.

use curlewcleat_core::{FeatureKind, RequestFeature, TargetPool, PART_LIMIT};
use rstest::rstest;

use super::super::prompt_parts::part_features;
use super::{head, PROFILE};

fn features(account: Option<&str>, pool: &str, parts: &'static str) -> Vec<RequestFeature> {
    let pool = TargetPool { id: pool.to_string(), ..TargetPool::default() };
    part_features(&PROFILE, &pool, account, &head(&[("parts", parts)]))
}

/// Each shared part is a feature of its account's prompts and of all prompts; the last part is the request's own.
#[rstest]
#[case::none("", 0)]
#[case::only_its_own("c:5", 0)]
#[case::one("a:1,c:5", 1)]
#[case::two("a:1,b:2,c:5", 2)]
#[case::blanks(" a:1 , b:2 ,c:5", 2)]
#[case::empty_id(":1,b:2,c:5", 1)]
#[case::no_sizes("a,b,c", 2)]
fn shared_parts_are_features(#[case] parts: &'static str, #[case] count: usize) {
    assert_eq!(features(None, "p", parts).len(), count);
    let of_account = features(Some("x"), "p", parts);
    assert_eq!(of_account.len(), 2 * count);
    let shared = of_account.iter().filter(|feature| feature.kind == FeatureKind::Part);
    assert_eq!(shared.copied().collect::<Vec<_>>(), features(None, "p", parts));
}

#[test]
fn feature_depends_on_id_and_pool_alone() {
    assert_eq!(features(None, "p", "a:1,c:5"), features(None, "p", " a:9,z"));
    assert_ne!(features(None, "p", "a:1,c:5"), features(None, "q", "a:1,c:5"));
    assert_ne!(features(None, "p", "a:1,c:5"), features(None, "p", "b:1,c:5"));
    let kinds = |account| {
        let found = features(Some(account), "p", "a:1,c:5");
        found.into_iter().find(|feature| feature.kind == FeatureKind::AccountPart)
    };
    assert_ne!(kinds("x"), kinds("y"));
}

/// A caller that sends thousands of parts must not make its request cost more than others.
#[test]
fn number_of_parts_is_bounded() {
    let many: String = (0..5_000).map(|number| format!("{number}:1,")).collect();
    let many: &'static str = Box::leak((many + "own:1").into_boxed_str());
    assert_eq!(features(Some("x"), "p", many).len(), 2 * PART_LIMIT);
}
