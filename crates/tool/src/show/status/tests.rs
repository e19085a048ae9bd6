//! Summary of the status of many daemons.

use serde_json::{json, Value};

use super::{daemon_row, summary_rows};

fn status(index: usize, data_centre: &str, generation: u64) -> Value {
    json!({
        "daemon": format!("10.0.0.{index}:80"), "vm": format!("vm-{index}"), "data_centre": data_centre,
        "generation": generation, "drain": "serving", "requests": 2, "peers": [], "key_slots": 0,
        "pools": [{ "id": "main", "scheduler": "vm-0" }], "evacuated": [],
    })
}

/// The summary of the users' whole fleet has a row for each data centre.
#[test]
fn summary_of_985_daemons_has_a_row_for_each_data_centre() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let statuses: Vec<Value> = (0..985).map(|index| status(index, names[index % 6], 7)).collect();
    let rows = summary_rows(&statuses);
    assert_eq!(rows.len(), 6);
    assert_eq!(rows[0], ["a", "165", "165", "7", "330", "vm-0", ""]);
    assert_eq!(rows[5], ["f", "164", "164", "7", "328", "", ""]);
}

#[test]
fn summary_counts_daemons_that_differ() {
    let mut statuses: Vec<Value> = (0..50).map(|index| status(index, "a", 7)).collect();
    statuses[3]["generation"] = json!(6);
    statuses[4]["drain"] = json!("closing");
    statuses[5]["evacuated"] = json!(["b"]);
    statuses[6] = json!({ "daemon": "10.0.0.6:80", "error": "no answer" });
    let rows = summary_rows(&statuses);
    assert_eq!(rows, [["a", "49", "48", "6 (1) 7 (48)", "98", "vm-0", "b (1)"]]);
}

#[test]
fn daemon_of_an_earlier_version_has_no_evacuated_data_centres() {
    let mut earlier = status(1, "a", 7);
    earlier.as_object_mut().expect("fields").remove("evacuated");
    assert_eq!(daemon_row(&earlier)[9], "");
}
