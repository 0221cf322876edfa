//! Listings of the platform's store with objects that other writers left there.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    thread,
};

use jayreach::{
    decide::watchers::StoreWatch,
    platform::{Consistency, Listing, PresenceObject, Store, WatchEnd, WatchPosition},
};
use tokio::task::LocalSet;

/// A store that gives this one answer to all calls.
fn store(body: &'static [u8]) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 4096];
            // All of a call without a body comes at once.
            _ = stream.read(&mut head);
            let start = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            _ = stream.write_all(&[start.as_bytes(), body].concat());
        }
    });
    Store::new(address)
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

fn names(list: &Listing<PresenceObject>) -> (Vec<&str>, Vec<&str>) {
    (list.objects.iter().map(|it| &*it.name).collect(), list.skipped.iter().map(|it| &*it.name).collect())
}

#[test]
fn a_listing_holds_whatever_stands_beside_its_objects() {
    let store = store(
        b"{\"items\":[
            {\"metadata\":{\"name\":\"a\"},\"spec\":{\"name\":\"a\",\"peers\":\"127.0.0.1:1\"}},
            {\"metadata\":{\"name\":\"b\"},\"spec\":{\"name\":\"b\"}},
            {\"metadata\":{\"name\":\"c\"},\"spec\":{\"name\":\"c\",\"peers\":7}},
            {\"metadata\":{\"name\":\"d\"}},
            {\"metadata\":{\"name\":\"e\"},\"spec\":{\"name\":\"a\",\"peers\":\"127.0.0.1:9\"}},
            {\"metadata\":{\"name\":\"f\xff\"},\"spec\":{\"name\":\"\xfe\",\"peers\":\"\xff\"}},
            {\"metadata\":[]}, null, 3,
            {\"metadata\":{\"name\":\"z\"},\"spec\":{\"name\":\"z\",\"peers\":\"127.0.0.1:2\"}}
          ],\"has_more\":false,\"at_rev\":9}",
    );

    let list = run(store.list_presences(Consistency::Linearizable)).expect("a listing");

    assert_eq!(names(&list), (vec!["a", "z"], vec!["b", "c", "", "e", "f\u{fffd}", "", "", ""]));
}

#[test]
fn a_listing_without_one_good_name_ends() {
    let store = store(b"{\"items\":[{\"metadata\":{}},null],\"has_more\":true,\"at_rev\":9}");

    let list = run(store.list_presences(Consistency::Linearizable)).expect("a listing");

    assert_eq!((list.objects.len(), list.skipped.len()), (0, 2));
}

#[test]
fn the_configuration_is_found_beside_other_objects_of_its_kind() {
    let store = store(
        b"{\"items\":[null,{\"metadata\":{\"name\":\"main\xff\"},\"spec\":[]},
            {\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"0000000c\",\"routes\":{}}}],\"at_rev\":9}",
    );

    let object = run(store.read_config(Consistency::Linearizable)).expect("a listing");

    let config = object.config.expect("it is there").expect("it is a configuration").config;
    assert_eq!((config.version, object.position.revision), (12, 9));
}

#[test]
fn a_watch_goes_on_past_events_that_are_not_understood() {
    let store = store(
        b"{\"events\":[null,{\"object\":{\"metadata\":{\"name\":\"main\"}},\"is_deleted\":false},
            {\"object\":{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"zz\"}},\"is_deleted\":false}],\"at_rev\":11}",
    );

    let end =
        run(store.watch_config(WatchPosition { revision: 9, era: 0 }, StoreWatch::with_jitter(0.0))).expect("events");

    let WatchEnd::Completed(object) = end else { panic!("the history is there") };
    assert_eq!((object.position.revision, object.config.map(|it| it.is_err())), (11, Some(true)));
}
