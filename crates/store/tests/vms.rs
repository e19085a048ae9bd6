//! Lists of VMs that contain odd records beside sound ones.

use std::io::Result as IoResult;
use std::time::Duration;

use curlewcleat_store::{Error, HttpStore, ObjectStore, VmList, VmState};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(2);

/// Reads a list of VMs with this record between two sound ones.
async fn vms_with(record: &[u8]) -> IoResult<Result<VmList, Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let body = [
        br#"[{"vm":"a","data_centre":"dc","state":"live"},"#.as_slice(),
        record,
        br#",{"vm":"z","data_centre":"dc","state":"leaving"}]"#,
    ]
    .concat();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await?);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await
    });
    Ok(HttpStore::new(&address, LIMIT).vms().await)
}

/// Guards against a list of which one odd record hides all VMs, so that leaving ones are still used.
#[rstest]
#[case::unknown_state(r#"{"vm":"odd","data_centre":"dc","state":"booting"}"#)]
#[case::no_state(r#"{"vm":"odd","data_centre":"dc"}"#)]
#[case::number_too_large(r#"{"vm":"odd","data_centre":"dc","state":1e400}"#)]
#[case::no_data_centre(r#"{"vm":"odd","state":"live"}"#)]
#[case::data_centre_of_another_type(r#"{"vm":"odd","data_centre":[7],"state":"live"}"#)]
#[case::deeply_nested(&format!(r#"{{"vm":"odd","state":{}{}}}"#, "[".repeat(100_000), "]".repeat(100_000)))]
#[actix_rt::test]
async fn odd_vm_gets_no_new_work_and_hides_no_other(#[case] record: &str) -> IoResult<()> {
    let list = vms_with(record.as_bytes()).await?.expect("a list");
    let states: Vec<_> = list.vms.iter().map(|vm| (vm.vm.as_str(), vm.state)).collect();
    // It is listed: a VM that is not has ended.
    let wanted = [("a", VmState::Live), ("odd", VmState::Leaving), ("z", VmState::Leaving)];
    assert_eq!(states, wanted);
    assert_eq!(list.faults.iter().map(|fault| fault.name.as_str()).collect::<Vec<_>>(), ["odd"]);
    Ok(())
}

/// A record without a name may be that of any VM, which must not be taken for one that has ended.
#[rstest]
#[case::number("7")]
#[case::nameless(r#"{"data_centre":"dc","state":"live"}"#)]
#[case::empty_name(r#"{"vm":"","data_centre":"dc","state":"live"}"#)]
#[case::not_json("nan")]
#[actix_rt::test]
async fn list_with_a_nameless_vm_shows_no_vm_as_ended(#[case] record: &str) -> IoResult<()> {
    let list = vms_with(record.as_bytes()).await?;
    assert!(matches!(list, Err(Error::Protocol(_))), "{list:?}");
    Ok(())
}
