//! Tests which stated loads are read from the heads of answers.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use curlewcleat_core::{LoadFault, LoadReading, StatedLoad};
use rand::{rngs::StdRng, Rng, SeedableRng};
use rstest::rstest;

use super::PROFILE;
use crate::request::profile::stated_load::read_load;

fn head(status: u16, values: &[&[u8]]) -> ResponseHead {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).expect("a status"));
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a value");
        head.headers.append(HeaderName::from_static("load"), value);
    }
    head
}

fn read(values: &[&str]) -> LoadReading {
    let values: Vec<&[u8]> = values.iter().map(|value| value.as_bytes()).collect();
    read_load(&PROFILE, &head(200, &values))
}

fn stated(running: u32, waiting: u32, slots: u32, slowness_percent: Option<u32>) -> StatedLoad {
    StatedLoad { running, waiting, slots, slowness_percent }
}

#[rstest]
#[case::three(&["3,1,8"], stated(3, 1, 8, None))]
#[case::four(&["3,1,8,250"], stated(3, 1, 8, Some(250)))]
#[case::blanks(&[" 3, 1 ,8 , 250 "], stated(3, 1, 8, Some(250)))]
#[case::idle(&["0,0,1,100"], stated(0, 0, 1, Some(100)))]
#[case::decimals(&["3.9,1.2,8,99.9"], stated(3, 1, 8, Some(99)))]
#[case::largest(&["100000,100000,100000,10000"], stated(100_000, 100_000, 100_000, Some(10_000)))]
fn usable_figures_are_read(#[case] values: &[&str], #[case] load: StatedLoad) {
    assert_eq!(read(values), LoadReading { load: Some(load), fault: None });
}

#[rstest]
#[case::empty(&[""], LoadFault::Absent)]
#[case::two_figures(&["3,1"], LoadFault::Absent)]
#[case::empty_figure(&["3,,8,100"], LoadFault::Absent)]
#[case::word(&["busy"], LoadFault::Malformed)]
#[case::word_among_figures(&["3,x,8,100"], LoadFault::Malformed)]
#[case::not_a_number(&["NaN,1,8"], LoadFault::Malformed)]
#[case::infinite(&["3,inf,8"], LoadFault::Malformed)]
#[case::five_figures(&["3,1,8,100,7"], LoadFault::Malformed)]
#[case::other_separator(&["3;1;8"], LoadFault::Malformed)]
#[case::running_below_zero(&["-1,1,8"], LoadFault::Negative)]
#[case::slots_below_zero(&["3,1,-8,100"], LoadFault::Negative)]
#[case::no_slots(&["3,1,0"], LoadFault::Absurd)]
#[case::too_many_running(&["100001,1,8"], LoadFault::Absurd)]
#[case::enormous(&["3,1,1e300"], LoadFault::Absurd)]
#[case::repeated(&["3,1,8,100", "3,1,8,100"], LoadFault::Repeated)]
#[case::repeated_with_an_unreadable_one(&["3,1,8", "x"], LoadFault::Repeated)]
fn unusable_statement_is_ignored(#[case] values: &[&str], #[case] fault: LoadFault) {
    assert_eq!(read(values), LoadReading { load: None, fault: Some(fault) });
}

/// The other figures of the statement are used all the same.
#[rstest]
#[case::empty("", LoadFault::Absent)]
#[case::word("slow", LoadFault::Malformed)]
#[case::not_a_number("NaN", LoadFault::Malformed)]
#[case::below_zero("-100", LoadFault::Negative)]
#[case::zero("0", LoadFault::Absurd)]
#[case::enormous("10001", LoadFault::Absurd)]
fn unusable_slowness_counts_as_not_stated(#[case] text: &str, #[case] fault: LoadFault) {
    let reading = read(&[&format!("3,1,8,{text}")]);
    assert_eq!(reading, LoadReading { load: Some(stated(3, 1, 8, None)), fault: Some(fault) });
}

#[test]
fn answer_without_the_header_states_nothing() {
    assert_eq!(read(&[]), LoadReading::default());
}

#[test]
fn another_target_than_the_intended_one_states_nothing() {
    assert_eq!(read_load(&PROFILE, &head(421, &[b"3,1,8,250"])), LoadReading::default());
}

/// Whatever bytes a target sends, the figures that are read are within their ranges.
#[test]
fn figures_from_any_bytes_are_within_their_ranges() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let length = random.random_range(0..16);
        let bytes: Vec<u8> = (0..length)
            .map(|_| match random.random_range(0..4) {
                0 => b',',
                1 => b"0123456789.-+einfNa \x80\xff"[random.random_range(0..22)],
                _ => random.random_range(b'0'..=b'9'),
            })
            .collect();
        let reading = read_load(&PROFILE, &head(200, &[&bytes]));
        assert!(reading.load.is_some() || reading.fault.is_some(), "{bytes:?}");
        if let Some(load) = reading.load {
            assert!(load.running <= 100_000 && load.waiting <= 100_000, "{bytes:?}");
            assert!((1..=100_000).contains(&load.slots), "{bytes:?}");
            assert!(load.slowness_percent.is_none_or(|slowness| (1..=10_000).contains(&slowness)));
        }
    }
}
