//! Messages between proxies of two releases: what proxies of the release before send and understand.

use std::time::Duration;

use hyper::{HeaderMap, body::Bytes, header::HeaderValue};
use jayreach::{
    decide::{fingerprint::Fingerprint, incarnation::EndpointId},
    proxy::{
        body::Body,
        message::{AnswerNeed, Grant, HttpContent, RunEnd, RunQuery, RunRequest},
    },
};
use rstest::rstest;
use serde_bytes::ByteBuf;

/// The first part of an answer that an ingress usually has memory for, in bytes.
const USUAL_FIRST_PART: usize = 64 << 10;

/// Headers and body as proxies of the release before encode them.
type EarlierContent = (Vec<(Box<str>, ByteBuf)>, ByteBuf);

fn grant() -> Grant {
    Grant { id: 7, guard: 3, endpoint: EndpointId { name: "i".into(), started_at: Some(1) } }
}

fn content(body: &'static [u8]) -> HttpContent {
    let headers = [("accept".parse().expect("a name"), HeaderValue::from_static("*/*"))].into_iter().collect();
    HttpContent::new(&headers, Body::from(Bytes::from_static(body)))
}

fn run_request() -> RunRequest {
    RunRequest {
        grant: grant(),
        request_id: "r".into(),
        retry_share: 0.5,
        method: "POST".into(),
        target: "/x".into(),
        content: content(b"body"),
        timeout: Duration::from_secs(2),
        fingerprint: Fingerprint::default(),
        first_part: USUAL_FIRST_PART,
    }
}

#[test]
fn a_request_with_a_short_body_is_encoded_as_by_the_release_before() {
    let content: EarlierContent = (vec![("accept".into(), ByteBuf::from("*/*"))], ByteBuf::from("body"));
    let RunRequest { request_id, retry_share, method, target, timeout, fingerprint, .. } = run_request();
    let earlier = (grant(), request_id, retry_share, method, target, content, timeout, fingerprint);
    let earlier = rmp_serde::to_vec(&earlier).expect("messages can be encoded");

    let decoded: RunRequest = rmp_serde::from_slice(&earlier).expect("a request of the release before");

    assert_eq!(rmp_serde::to_vec(&run_request()).expect("messages can be encoded"), earlier);
    assert_eq!(decoded, run_request());
}

#[test]
fn a_query_for_the_beginning_of_an_answer_is_encoded_as_by_the_release_before() {
    let query = RunQuery { grant: grant(), need: AnswerNeed::default() };

    let encoded = rmp_serde::to_vec(&query).expect("messages can be encoded");

    assert_eq!(encoded, rmp_serde::to_vec(&(grant(),)).expect("messages can be encoded"));
}

/// Guards against a proxy of the release before that runs a request, or passes on an answer, without most of its body.
#[test]
fn content_without_its_whole_body_is_not_understood_by_the_release_before() {
    let end = RunEnd::Answered { status: 200, content: content(b"a long body"), took: Duration::ZERO };
    let RunEnd::Answered { content: first_part, .. } = end.part(0, 4) else { panic!("it is an answer") };

    let encoded = rmp_serde::to_vec(&first_part).expect("messages can be encoded");

    assert_eq!((first_part.body.len(), first_part.left), (4, 7));
    assert!(rmp_serde::from_slice::<EarlierContent>(&encoded).is_err());
}

#[rstest]
#[case::the_first(0, 4, b"a lo", 7, 1)]
#[case::a_further_one(4, 4, b"ng b", 3, 0)]
#[case::the_last(8, 99, b"ody", 0, 0)]
#[case::beyond_the_end(11, 4, b"", 0, 0)]
fn an_answer_is_divided_into_parts(
    #[case] offset: usize,
    #[case] len: usize,
    #[case] expected: &'static [u8],
    #[case] left: usize,
    #[case] headers: usize,
) {
    let segments: Vec<Bytes> = b"a long body".chunks(3).map(Bytes::from_static).collect();
    let headers_of_answer: HeaderMap = content(b"").headers();
    let content = HttpContent::new(&headers_of_answer, Body::from(segments));
    let end = RunEnd::Answered { status: 200, content, took: Duration::ZERO };

    let RunEnd::Answered { content: part, .. } = end.part(offset, len) else { panic!("it is an answer") };

    assert_eq!((part.body.clone().into_vec(), part.left), (expected.to_vec(), left));
    assert_eq!(part.headers().len(), headers);
}
