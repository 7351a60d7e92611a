//! Memory that the body of a response takes while it is read. The only test of this file, because it measures the memory
//! of its own process.

use bytes::Bytes;
use config_distribution::host::call::{Call, call};
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

/// Size of the response's body.
const BODY_BYTES: usize = 1 << 20;
/// Memory that reading the body may take: the body itself, and once more while its buffer grows to twice the size.
const MAX_MEMORY_KIB: usize = 3 * BODY_BYTES / 1024;

/// Private memory of this process in KiB.
fn private_memory_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux reports the memory of a process");
    let line =
        status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("it reports private memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number of KiB")
}

/// Guards against a response whose body takes many times its size, because each of its chunks was kept as a piece of
/// its own: a body of 1 MiB in chunks of 1 byte took over 40 MiB.
#[tokio::test(flavor = "current_thread")]
async fn a_response_in_small_chunks_takes_little_more_memory_than_its_size() {
    let (client, mut server) = duplex(64 * 1024);
    let chunks = b"1\r\nb\r\n".repeat(BODY_BYTES / 16);
    let sent = async {
        let mut request = [0; 4096];
        let received = server.read(&mut request).await.expect("the request arrives");
        assert!(received > 0);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        server.write_all(head).await.expect("the client reads");
        for _ in 0..16 {
            server.write_all(&chunks).await.expect("the client reads");
        }
        let before_end = private_memory_kib();
        server.write_all(b"0\r\n\r\n").await.expect("the client reads");
        before_end
    };
    let request =
        Call { method: Method::GET, host: "a".to_owned(), path: "/", headers: &[], body: Bytes::new() };
    let before = private_memory_kib();
    let (response, before_end) = tokio::join!(call(client, request), sent);
    let (_, body) = response.expect("the response arrives");
    assert_eq!(body.len(), BODY_BYTES);
    let taken = before_end.saturating_sub(before);
    println!("{taken} KiB for a body of {} KiB", BODY_BYTES / 1024);
    assert!(taken <= MAX_MEMORY_KIB, "expected at most {MAX_MEMORY_KIB} KiB, got {taken} KiB");
}
