//! Tests which notices are read from the heads of answers.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use curlewcleat_core::{BrittleNotice, LimitNotice, RequestRate, TargetNotice};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rstest::rstest;

use super::PROFILE;
use crate::request::profile::notice::read_notice;

const LONGEST_REST: Duration = Duration::from_secs(300);

fn head(status: u16, headers: &[(&'static str, &str)]) -> ResponseHead {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).expect("a status"));
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        head.headers.append(HeaderName::from_static(name), value);
    }
    head
}

fn read(status: u16, headers: &[(&'static str, &str)]) -> TargetNotice {
    read_notice(&PROFILE, &head(status, headers)).expect("the intended target")
}

#[rstest]
#[case::decimal(&["1.7"], LimitNotice::Stated(RequestRate(1_700)))]
#[case::whole(&["3"], LimitNotice::Stated(RequestRate(3_000)))]
#[case::zero(&["0"], LimitNotice::Stated(RequestRate(0)))]
#[case::blanks(&[" 2 "], LimitNotice::Stated(RequestRate(2_000)))]
#[case::enormous(&["1e300"], LimitNotice::Stated(RequestRate::MAX))]
#[case::the_lowest_counts(&["5", "2", "9"], LimitNotice::Stated(RequestRate(2_000)))]
#[case::one_that_can_be_read(&["x", "2"], LimitNotice::Stated(RequestRate(2_000)))]
#[case::none(&[], LimitNotice::Absent)]
#[case::no_number(&["many"], LimitNotice::Unreadable)]
#[case::empty(&[""], LimitNotice::Unreadable)]
#[case::below_zero(&["-1"], LimitNotice::Unreadable)]
#[case::infinite(&["inf"], LimitNotice::Unreadable)]
#[case::not_a_number(&["NaN"], LimitNotice::Unreadable)]
#[case::list(&["1,2"], LimitNotice::Unreadable)]
fn lowest_readable_limit_applies(#[case] texts: &[&str], #[case] limit: LimitNotice) {
    let headers: Vec<_> = texts.iter().map(|text| ("limit", *text)).collect();
    assert_eq!(read(200, &headers).limit, limit);
}

#[rstest]
#[case::whole(&["3"], BrittleNotice::Stated(3))]
#[case::zero(&["0"], BrittleNotice::Stated(0))]
#[case::decimal(&["1.9"], BrittleNotice::Stated(1))]
#[case::enormous(&["1e300"], BrittleNotice::Stated(u32::MAX))]
#[case::the_lowest_counts(&["5", "2"], BrittleNotice::Stated(2))]
#[case::one_that_can_be_read(&["x", "2"], BrittleNotice::Stated(2))]
#[case::none(&[], BrittleNotice::Absent)]
#[case::no_number(&["very"], BrittleNotice::Unreadable)]
#[case::empty(&[""], BrittleNotice::Unreadable)]
#[case::below_zero(&["-1"], BrittleNotice::Unreadable)]
fn lowest_readable_number_of_refusals_applies(
    #[case] texts: &[&str],
    #[case] brittle: BrittleNotice,
) {
    let headers: Vec<_> = texts.iter().map(|text| ("brittle", *text)).collect();
    let notice = read(200, &headers);
    assert_eq!(notice.brittle, brittle);
    assert_eq!(notice.unreadable, brittle == BrittleNotice::Unreadable || texts.contains(&"x"));
}

#[rstest]
#[case::seconds(503, &["3"], Some(3_000))]
#[case::fraction(503, &["0.25"], Some(250))]
#[case::too_many(429, &["1"], None)]
#[case::zero(503, &["0"], Some(0))]
#[case::the_longest_counts(503, &["1", "4"], Some(4_000))]
#[case::enormous(503, &["1e12"], Some(300_000))]
#[case::served(200, &["3"], None)]
#[case::failed(500, &["3"], None)]
#[case::none(503, &[], None)]
#[case::date(503, &["Fri, 31 Dec 1999 23:59:59 GMT"], None)]
#[case::below_zero(503, &["-3"], None)]
#[case::infinite(503, &["inf"], None)]
#[case::empty(503, &[""], None)]
fn longest_readable_rest_of_a_503_applies(
    #[case] status: u16,
    #[case] texts: &[&str],
    #[case] millis: Option<u64>,
) {
    let headers: Vec<_> = texts.iter().map(|text| ("retry-after", *text)).collect();
    assert_eq!(read(status, &headers).rest, millis.map(Duration::from_millis));
}

#[rstest]
#[case::leaving(&["1"], true)]
#[case::leaving_in_second_value(&["0", "1"], true)]
#[case::not_leaving(&["0"], false)]
#[case::other(&["yes"], false)]
#[case::no_header(&[], false)]
fn only_the_leaving_value_means_leaving(#[case] texts: &[&str], #[case] leaves: bool) {
    let headers: Vec<_> = texts.iter().map(|text| ("leaving", *text)).collect();
    assert_eq!(read(503, &headers).leaving, leaves);
}

/// The headers of another target at the same address must not be applied to the intended one.
#[test]
fn answer_of_another_target_has_no_notice() {
    let headers = [("leaving", "1"), ("limit", "0"), ("retry-after", "9")];
    assert_eq!(read_notice(&PROFILE, &head(421, &headers)), None);
}

/// No header value may give a rest above the longest or a rate above the maximum, and only the exact leaving value may
/// count as leaving: otherwise a malformed header could exclude a target permanently.
#[test]
fn no_header_value_excludes_a_target_permanently() {
    let mut random = StdRng::seed_from_u64(4_801);
    let letters = b"0123456789.eE+-, naifINFx:;GMT";
    for _ in 0..20_000 {
        let mut text = || {
            let length = random.random_range(0..12);
            let letter = |_| letters[random.random_range(0..letters.len())] as char;
            (0..length).map(letter).collect::<String>()
        };
        let texts = [text(), text(), text()];
        let headers = [
            ("limit", texts[0].as_str()),
            ("retry-after", texts[1].as_str()),
            ("leaving", texts[2].as_str()),
        ];
        let notice = read(503, &headers);
        assert!(notice.rest.is_none_or(|rest| rest <= LONGEST_REST), "{headers:?}");
        assert_eq!(notice.leaving, texts[2].trim() == "1", "{headers:?}");
        if let LimitNotice::Stated(rate) = notice.limit {
            assert!(rate <= RequestRate::MAX, "{headers:?}");
        }
    }
}
