//! Checks the fleet stand-ins: engines that restart with the same id, and list entries of other writers.

use std::time::Duration;

use curlewcleat_platform::names::{OBJECTS, SERVERS};
use curlewcleat_standins::address::free_address;
use curlewcleat_standins::fleet::{FleetDeployment, FleetStore, ForeignEntry};
use curlewcleat_standins::http::serve_here;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns the body of the answer to a read.
async fn get(address: &str, path: &str) -> anyhow::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes()).await?;
    let mut bytes = Vec::new();
    // The stand-in keeps the connection open, so the answer ends when no byte arrives for 200 ms.
    while tokio::time::timeout(Duration::from_millis(200), stream.read_buf(&mut bytes))
        .await
        .is_ok_and(|read| read.is_ok_and(|length| length > 0))
    {}
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    Ok(bytes.split_off(end.map_or(0, |end| end + 4)))
}

fn born(fleet: &FleetDeployment) -> Option<u64> {
    fleet.store.spec(SERVERS, "i-0")?["born"].as_u64()
}

#[actix_rt::test]
async fn restarted_engine_keeps_its_id_and_no_state() -> anyhow::Result<()> {
    let mut fleet = FleetDeployment::start("restart").await?;
    fleet.engine("records", 3, Duration::from_millis(5)).await?;
    let (address, first) = (fleet.engine_addresses[0].clone(), born(&fleet));
    get(&address, "/once/1").await?;
    assert_eq!(fleet.engines[0].runs().len(), 1);
    let mut open = TcpStream::connect(&address).await?;
    open.write_all(b"GET /once/1 HTTP/1.1\r\n\r\n").await?;
    let mut byte = [0u8; 1];
    open.read_exact(&mut byte).await?;

    fleet.restart_engine(0, address.clone()).await?;
    assert!(born(&fleet) > first, "{:?} after {first:?}", born(&fleet));
    assert_eq!(fleet.engines[0].runs().len(), 0);
    let mut rest = Vec::new();
    // The connection ends with a reset if bytes were left unread.
    let _ = open.read_to_end(&mut rest).await;
    get(&address, "/once/1").await?;
    assert_eq!(fleet.engines[0].runs().len(), 1);

    let other = free_address()?;
    fleet.restart_engine(0, other.clone()).await?;
    assert!(TcpStream::connect(&address).await.is_err());
    get(&other, "/once/1").await?;
    assert_eq!(fleet.engines[0].runs().len(), 1);
    Ok(())
}

/// Returns the answers of the store to a list and to a watch that was waiting.
async fn list_and_watch(entry: ForeignEntry) -> anyhow::Result<(Vec<u8>, Vec<u8>)> {
    let store = FleetStore::new();
    let address = serve_here(store.clone()).await?;
    store.announce("i-0", "records", "127.0.0.1:1", 8, "ready")?;
    let path = format!("{OBJECTS}/{SERVERS}?watch=1&wait_ms=1000");
    let watching = address.clone();
    let watch = actix_rt::spawn(async move { get(&watching, &path).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.put(SERVERS, "i-1", entry.spec("records", "127.0.0.1:2"));
    Ok((get(&address, &format!("{OBJECTS}/{SERVERS}")).await?, watch.await??))
}

#[actix_rt::test]
async fn foreign_entries_are_listed_and_watched_with_valid_ones() -> anyhow::Result<()> {
    for entry in ForeignEntry::ALL {
        let (list, watch) = list_and_watch(entry).await?;
        let readable = entry != ForeignEntry::InvalidUtf8;
        assert_eq!(serde_json::from_slice::<Value>(&list).is_ok(), readable, "{entry:?}");
        assert_eq!(std::str::from_utf8(&watch).is_ok(), readable, "{entry:?}");
        let list = String::from_utf8_lossy(&list).to_string();
        assert!(list.contains("i-0") && list.contains("i-1"), "{entry:?}: {list}");
        assert!(String::from_utf8_lossy(&watch).contains("i-1"), "{entry:?}");
    }
    Ok(())
}

/// Bytes that are no JSON stand in an answer as they were written, and the objects beside them as well.
#[actix_rt::test]
async fn any_bytes_are_listed_as_they_were_written() -> anyhow::Result<()> {
    let store = FleetStore::new();
    let address = serve_here(store.clone()).await?;
    store.put_raw(SERVERS, "i-0", b"{\"slots\":1e400,\xff}");
    store.put_raw_object(SERVERS, "i-1", b"[[");
    store.announce("i-2", "records", "127.0.0.1:1", 8, "ready")?;
    let list = get(&address, &format!("{OBJECTS}/{SERVERS}")).await?;
    let wanted: [&[u8]; 3] =
        [b"\"spec\":{\"slots\":1e400,\xff},\"status\"", b"},[[,{", b"\"address\":\"127.0.0.1:1\""];
    for wanted in wanted {
        let found = list.windows(wanted.len()).any(|bytes| bytes == wanted);
        assert!(found, "{}", String::from_utf8_lossy(&list));
    }
    Ok(())
}
