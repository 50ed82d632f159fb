//! Calls on unauthenticated links, with hand-encoded messages.

use crate::node::{OPTIONS, SECRET, TestNode, run};
use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2::SendRequest;
use monoio::io::IntoPollIo;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo};
use pomeloridge_base::net;
use pomeloridge_base::secret::sign;
use prost::Message;
use yare::parameterized;

/// gRPC status of a successful call.
const OK: &str = "0";
/// gRPC status for a message over its limit.
const OUT_OF_RANGE: &str = "11";
/// gRPC status for unauthenticated callers.
const UNAUTHENTICATED: &str = "16";

#[derive(Clone, PartialEq, Message)]
struct Hello {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    nonce: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    proof: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct Prove {
    #[prost(bytes = "vec", tag = "1")]
    proof: Vec<u8>,
}

struct Raw(SendRequest<Full<Bytes>>);

impl Raw {
    async fn connect(node: &TestNode) -> Self {
        let stream = net::connect(node.address, OPTIONS.suspect).await;
        let stream = stream
            .and_then(IntoPollIo::into_poll_io)
            .expect("the node listens");
        let io = MonoioIo::new(stream);
        let handshake = hyper::client::conn::http2::handshake(MonoioExecutor, io).await;
        let (sender, connection) = handshake.expect("the node supports HTTP/2");
        monoio::spawn(connection);
        Self(sender)
    }

    /// Makes a call and returns its gRPC status and the message of the response.
    async fn call(&mut self, path: &str, message: &impl Message) -> (String, Bytes) {
        let mut body = BytesMut::new();
        body.put_u8(0);
        body.put_u32(message.encoded_len() as u32);
        body.put_slice(&message.encode_to_vec());
        let request = Request::post(format!("http://node/pomeloridge.node.{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(Full::new(body.freeze()))
            .expect("the request is well formed");
        let response = self
            .0
            .send_request(request)
            .await
            .expect("the node answers");
        let headers = response.headers().clone();
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the response is complete");
        let trailers = body.trailers().cloned().unwrap_or_default();
        let status = |map: &HeaderMap| Some(map.get("grpc-status")?.to_str().ok()?.to_owned());
        let status = status(&headers).or_else(|| status(&trailers));
        let body = body.to_bytes();
        let message = body.slice(body.len().min(5)..);
        (status.expect("every response has a status"), message)
    }
}

/// Computes the proof of a caller, as a node does.
fn proof(secret: &[u8], own: &Hello, reply: &Hello) -> Vec<u8> {
    let parts: [&[u8]; 5] = [
        b"pomeloridge caller",
        own.name.as_bytes(),
        reply.name.as_bytes(),
        &own.nonce,
        &reply.nonce,
    ];
    let mut message = Vec::new();
    for part in parts {
        message.extend((part.len() as u64).to_be_bytes());
        message.extend(part);
    }
    sign(secret, &message).to_vec()
}

fn hello() -> Hello {
    Hello {
        name: "b".to_owned(),
        nonce: vec![7; 32],
        proof: Vec::new(),
    }
}

#[parameterized(
    heartbeat = { "Node/Heartbeat" },
    get_config = { "Node/GetConfig" },
    push_config = { "Node/PushConfig" },
    ack_usage = { "Node/AckUsage" },
    list_usage = { "Node/ListUsage" },
    get_usage = { "Node/GetUsage" },
    drop_usage = { "Node/DropUsage" },
)]
fn a_call_without_proof_is_refused(path: &str) {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let mut raw = Raw::connect(&a).await;
        let status = raw.call(path, &Prove::default()).await.0;
        assert_eq!(status, UNAUTHENTICATED);
        // A hello alone does not authenticate the link.
        assert_eq!(raw.call("Link/Hello", &hello()).await.0, OK);
        let status = raw.call(path, &Prove::default()).await.0;
        assert_eq!(status, UNAUTHENTICATED);
        assert!(a.mesh.members().is_empty());
    });
}

#[test]
fn only_the_right_proof_opens_the_link_and_only_that_link() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let mut raw = Raw::connect(&a).await;
        let (_, reply) = raw.call("Link/Hello", &hello()).await;
        let reply = Hello::decode(reply).expect("the reply is a hello");
        let right = Prove {
            proof: proof(SECRET, &hello(), &reply),
        };
        assert_eq!(raw.call("Link/Prove", &right).await.0, OK);
        assert_eq!(raw.call("Node/ListUsage", &Prove::default()).await.0, OK);
        let mut other = Raw::connect(&a).await;
        let status = other.call("Node/ListUsage", &Prove::default()).await.0;
        assert_eq!(status, UNAUTHENTICATED);
    });
}

#[test]
fn a_wrong_proof_uses_up_the_links_only_attempt() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let mut raw = Raw::connect(&a).await;
        let (_, reply) = raw.call("Link/Hello", &hello()).await;
        let reply = Hello::decode(reply).expect("the reply is a hello");
        let wrong = [
            proof(b"a secret of another fleet", &hello(), &reply),
            // The right proof, too late.
            proof(SECRET, &hello(), &reply),
        ];
        for proof in wrong {
            let status = raw.call("Link/Prove", &Prove { proof }).await.0;
            assert_eq!(status, UNAUTHENTICATED);
        }
        let status = raw.call("Node/ListUsage", &Prove::default()).await.0;
        assert_eq!(status, UNAUTHENTICATED);
    });
}

#[test]
fn the_called_nodes_own_proof_does_not_prove_the_caller() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let mut raw = Raw::connect(&a).await;
        let (_, reply) = raw.call("Link/Hello", &hello()).await;
        let proof = Hello::decode(reply).expect("the reply is a hello").proof;
        let status = raw.call("Link/Prove", &Prove { proof }).await.0;
        assert_eq!(status, UNAUTHENTICATED);
    });
}

#[test]
fn a_large_hello_is_refused() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let mut raw = Raw::connect(&a).await;
        let large = Hello {
            name: "b".repeat(5000),
            ..hello()
        };
        assert_eq!(raw.call("Link/Hello", &large).await.0, OUT_OF_RANGE);
    });
}
