//! Answers to the calls of other nodes.
//!
//! No answer waits for anything, so no state is held while a call is suspended.

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
use crate::peer_link::fitting;
use crate::proof::Side;
use crate::served_link::{LinkKey, find, find_proved};
use crate::usage::UsageBatch;
use crate::wire::{each, try_each};

type Answer<T> = Result<Response<T>, Status>;

/// The services of one link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkService(pub(crate) LinkKey);

#[async_trait]
impl Link for LinkService {
    async fn hello(&self, request: Request<HelloRequest>) -> Answer<HelloReply> {
        let link = find(self.0)?;
        let hello = request.into_inner();
        let greeting = link.greet(Name::from(hello.name), hello.nonce.to_vec())?;
        let proof = greeting.prove(link.mesh.secret(), Side::Called);
        Ok(Response::new(HelloReply {
            name: greeting.called.to_string(),
            nonce: greeting.called_nonce.into(),
            proof: proof.into(),
        }))
    }

    async fn prove(&self, request: Request<ProveRequest>) -> Answer<ProveReply> {
        find(self.0)?.check(&request.into_inner().proof)?;
        Ok(Response::new(ProveReply {}))
    }
}

#[async_trait]
impl Node for LinkService {
    async fn heartbeat(&self, request: Request<HeartbeatMessage>) -> Answer<HeartbeatMessage> {
        let (link, name) = find_proved(self.0)?;
        let heartbeat = Heartbeat::try_from(request.into_inner())?;
        if heartbeat.sender.name != name {
            return Err(Status::permission_denied("the sender has another name"));
        }
        if !link.mesh.absorb(heartbeat) {
            return Err(Status::failed_precondition("a later start is known"));
        }
        Ok(Response::new(link.mesh.heartbeat().into()))
    }

    async fn get_config(&self, request: Request<GetConfigRequest>) -> Answer<GetConfigReply> {
        let (link, _) = find_proved(self.0)?;
        let keys = request.into_inner().keys;
        let mut objects: Vec<ConfigMessage> = each(link.mesh.config_objects(&keys));
        objects.truncate(fitting(&objects));
        Ok(Response::new(GetConfigReply { objects }))
    }

    async fn push_config(&self, request: Request<PushConfigRequest>) -> Answer<PushConfigReply> {
        let (link, name) = find_proved(self.0)?;
        let objects: Vec<ConfigObject> = try_each(request.into_inner().objects)?;
        link.mesh.take_config(objects, &name);
        Ok(Response::new(PushConfigReply {}))
    }

    async fn ack_usage(&self, request: Request<UsageBatchMessage>) -> Answer<AckUsageReply> {
        let (link, name) = find_proved(self.0)?;
        let batch = UsageBatch::from(request.into_inner());
        if batch.node != name {
            return Err(Status::permission_denied("the batch is of another node"));
        }
        let kept = link.mesh.store_usage(batch);
        if !kept.can_acknowledge() {
            return Err(Status::resource_exhausted(kept.to_string()));
        }
        Ok(Response::new(AckUsageReply {}))
    }

    async fn list_usage(&self, _: Request<ListUsageRequest>) -> Answer<ListUsageReply> {
        let (link, _) = find_proved(self.0)?;
        let spans = each(link.mesh.usage_spans());
        Ok(Response::new(ListUsageReply { spans }))
    }

    async fn get_usage(&self, request: Request<GetUsageRequest>) -> Answer<GetUsageReply> {
        let (link, _) = find_proved(self.0)?;
        let asked = request.into_inner();
        let part = link.mesh.read_usage(
            &Name::from(asked.node),
            Incarnation(asked.incarnation),
            asked.from,
        );
        Ok(Response::new(part.into()))
    }

    async fn drop_usage(&self, request: Request<DropUsageRequest>) -> Answer<DropUsageReply> {
        let (link, _) = find_proved(self.0)?;
        let sealed = request.into_inner();
        let node = Name::from(sealed.node);
        let incarnation = Incarnation(sealed.incarnation);
        link.mesh.drop_sealed(&node, incarnation, sealed.up_to);
        Ok(Response::new(DropUsageReply {}))
    }
}
