//! Handlers of the calls of other nodes.
//!
//! No handler awaits anything, so no state stays borrowed across a suspension point.

use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::id::{Incarnation, Name};
use tonic::{Request, Response, Status, async_trait};

use crate::generated::link_server::Link;
use crate::generated::node_server::Node;
use crate::generated::{
    AckUsageReply, ConfigMessage, DropUsageReply, DropUsageRequest, GetConfigReply,
    GetConfigRequest, GetUsageReply, GetUsageRequest, HeartbeatMessage, HelloReply, HelloRequest,
    ListUsageReply, ListUsageRequest, ProveReply, ProveRequest, PushConfigReply, PushConfigRequest,
    UsageBatchMessage,
};
use crate::heartbeat::Heartbeat;
use crate::peer_link::fitting_count;
use crate::proof::Side;
use crate::served_link::{LinkKey, find, find_authenticated};
use crate::usage::UsageBatch;
use crate::wire::{convert_all, try_convert_all};

type RpcResult<T> = Result<Response<T>, Status>;

/// gRPC services of one link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkService(pub(crate) LinkKey);

#[async_trait]
impl Link for LinkService {
    async fn hello(&self, request: Request<HelloRequest>) -> RpcResult<HelloReply> {
        let link = find(self.0)?;
        let hello = request.into_inner();
        let handshake = link.begin_handshake(Name::from(hello.name), hello.nonce.to_vec())?;
        let proof = handshake.prove(link.mesh.secret(), Side::Called);
        Ok(Response::new(HelloReply {
            name: handshake.called.to_string(),
            nonce: handshake.called_nonce.into(),
            proof: proof.into(),
        }))
    }

    async fn prove(&self, request: Request<ProveRequest>) -> RpcResult<ProveReply> {
        find(self.0)?.verify_proof(&request.into_inner().proof)?;
        Ok(Response::new(ProveReply {}))
    }
}

#[async_trait]
impl Node for LinkService {
    async fn heartbeat(&self, request: Request<HeartbeatMessage>) -> RpcResult<HeartbeatMessage> {
        let (link, name) = find_authenticated(self.0)?;
        let heartbeat = Heartbeat::try_from(request.into_inner())?;
        if heartbeat.sender.name != name {
            return Err(Status::permission_denied("the sender has another name"));
        }
        if !link.mesh.receive_heartbeat(heartbeat) {
            return Err(Status::failed_precondition("a later start is known"));
        }
        Ok(Response::new(link.mesh.next_heartbeat().into()))
    }

    async fn get_config(&self, request: Request<GetConfigRequest>) -> RpcResult<GetConfigReply> {
        let (link, _) = find_authenticated(self.0)?;
        let keys = request.into_inner().keys;
        let mut objects: Vec<ConfigMessage> = convert_all(link.mesh.config_objects(&keys));
        objects.truncate(fitting_count(&objects));
        Ok(Response::new(GetConfigReply { objects }))
    }

    async fn push_config(&self, request: Request<PushConfigRequest>) -> RpcResult<PushConfigReply> {
        let (link, name) = find_authenticated(self.0)?;
        let objects: Vec<ConfigObject> = try_convert_all(request.into_inner().objects)?;
        link.mesh.receive_config(objects, &name);
        Ok(Response::new(PushConfigReply {}))
    }

    async fn ack_usage(&self, request: Request<UsageBatchMessage>) -> RpcResult<AckUsageReply> {
        let (link, name) = find_authenticated(self.0)?;
        let batch = UsageBatch::from(request.into_inner());
        if batch.node != name {
            return Err(Status::permission_denied("the batch is of another node"));
        }
        let outcome = link.mesh.store_usage(batch);
        if !outcome.can_acknowledge() {
            return Err(Status::resource_exhausted(outcome.to_string()));
        }
        Ok(Response::new(AckUsageReply {}))
    }

    async fn list_usage(&self, _: Request<ListUsageRequest>) -> RpcResult<ListUsageReply> {
        let (link, _) = find_authenticated(self.0)?;
        let spans = convert_all(link.mesh.usage_spans());
        Ok(Response::new(ListUsageReply { spans }))
    }

    async fn get_usage(&self, request: Request<GetUsageRequest>) -> RpcResult<GetUsageReply> {
        let (link, _) = find_authenticated(self.0)?;
        let request = request.into_inner();
        let page = link.mesh.read_usage(
            &Name::from(request.node),
            Incarnation(request.incarnation),
            request.from,
        );
        Ok(Response::new(page.into()))
    }

    async fn drop_usage(&self, request: Request<DropUsageRequest>) -> RpcResult<DropUsageReply> {
        let (link, _) = find_authenticated(self.0)?;
        let request = request.into_inner();
        let node = Name::from(request.node);
        let incarnation = Incarnation(request.incarnation);
        link.mesh.drop_sealed(&node, incarnation, request.up_to);
        Ok(Response::new(DropUsageReply {}))
    }
}
