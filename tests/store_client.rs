//! The client of the store against answers in trouble.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use jayreach::store::{ObjectStore as _, StoreClient, StoreError};
use rstest::rstest;

/// Time until a call with an endless answer must have failed; its time-out is five seconds.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Answers each request with `start`, then with 64 MB a second without end.
fn serve_endless(start: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                _ = stream.read(&mut [0; 4096]);
                let mut sent = stream.write_all(start.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(&[b'a'; 1 << 16]);
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
    });
    address
}

/// Guards against an answer of the store without an end that fills the memory until the call's time-out.
#[rstest]
#[case::an_object("HTTP/1.1 200 x\r\nETag: \"1\"\r\n\r\n")]
#[case::a_header("HTTP/1.1 200 x\r\nETag: ")]
fn an_endless_answer_of_the_store_fails_soon(#[case] start: &'static str) {
    let store = StoreClient::new(serve_endless(start));

    let started = Instant::now();
    let result = store.get("config");
    let took = started.elapsed();

    assert!(matches!(result, Err(StoreError::NoResponse(_))), "{result:?}");
    assert!(took < TIME_LIMIT, "failed after {took:.2?}");
}
