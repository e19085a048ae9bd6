//! Objects of every kind in which one field has an odd value.

use curlewcleat_platform::names::{CONFIG_KIND, DAEMONS, EVACUATIONS, REFUSALS, ROLLOUTS, SERVERS};

/// Levels of a value that is nested more deeply than a stack could hold.
const LEVELS: usize = 20_000;

/// An object that another writer stores.
pub struct OddObject {
    pub kind: &'static str,
    pub name: String,
    pub content: Vec<u8>,
}

/// Returns the fields of a sound object, which no configuration and no target refers to.
fn sound_fields(kind: &str) -> &'static [(&'static str, &'static str)] {
    match kind {
        SERVERS => &[
            ("backend", r#""unused""#),
            ("address", r#""127.0.0.1:9""#),
            ("zone", r#""here""#),
            ("slots", "4"),
            ("state", r#""ready""#),
            ("resource_version", r#""v1""#),
            ("cold_remaining_ms", "0"),
            ("born", "1700000000000"),
        ],
        DAEMONS => &[("address", r#""127.0.0.1:9""#), ("incarnation", "1"), ("capacity", "100")],
        REFUSALS => &[("digest", r#""00""#), ("refused_at_ms", "1"), ("targets", "[]")],
        ROLLOUTS => {
            &[("backend", r#""unused""#), ("target_version", r#""v9""#), ("duration_s", "5")]
        }
        CONFIG_KIND => &[("resource_version", "9"), ("routes", "[]"), ("services", "[]")],
        _ => &[("reason", r#""repair""#)],
    }
}

fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| [open.repeat(LEVELS), close.repeat(LEVELS)].concat();
    let mut values = vec![nested("[", "]").into_bytes()];
    let texts = [
        "1e400",
        "-1e400",
        "18446744073709551616",
        "4294967295",
        "-1",
        r#""127.0.0.1:65536""#,
        r#""127.0.0.1:0""#,
        r#""[::1]:-1""#,
        "\"\u{1}\"",
        "nan",
    ];
    values.extend(texts.map(|text| text.as_bytes().to_vec()));
    values.push(b"\"\xff\"".to_vec());
    values
}

/// Returns a content in which a field has this value.
fn content_with(kind: &str, field: &str, value: &[u8]) -> Vec<u8> {
    let member = |(name, sound): &(&str, &str)| {
        let value = if *name == field { value } else { sound.as_bytes() };
        [format!("\"{name}\":").as_bytes(), value].concat()
    };
    let members: Vec<Vec<u8>> = sound_fields(kind).iter().map(member).collect();
    [b"{".as_slice(), &members.join(&b","[..]), b"}"].concat()
}

/// Returns objects of every kind with each odd value in each field, and in place of the whole content.
pub fn odd_objects() -> impl Iterator<Item = OddObject> {
    let kinds = [SERVERS, DAEMONS, REFUSALS, ROLLOUTS, EVACUATIONS, CONFIG_KIND];
    kinds.into_iter().flat_map(|kind| {
        let contents = odd_values().into_iter().flat_map(move |value| {
            let fields = sound_fields(kind).iter();
            let with = fields.map(|(field, _)| content_with(kind, field, &value));
            with.chain([value.clone()]).collect::<Vec<_>>()
        });
        contents.enumerate().map(move |(index, content)| OddObject {
            kind,
            name: format!("odd-{index}"),
            content,
        })
    })
}
