use std::net::SocketAddr;

use hyper::Method;

use super::{Client, Error};
use crate::{
    admin::{Replicas, Risk, Status, Way},
    id,
};

/// What each VM knows of a request: those named, or else those of the directory, and then every VM
/// on its way.
pub(super) fn ways(client: &Client, request: &str) -> Result<Vec<Way>, Error> {
    let path = format!("/requests/{request}");
    let ask = |vm: SocketAddr| client.at(vm).get::<Way>(&path);
    let members = client.get::<Status>("/status")?.members;
    let named = client.vms().iter().copied();
    let others = members.iter().map(|member| member.address);
    let others = others.filter(|address| !client.vms().contains(address));
    let mut failure = None;
    let mut ways: Vec<Way> = Vec::new();
    for vm in named.chain(others) {
        match ask(vm) {
            Ok(way) => ways.push(way),
            Err(error) if !matches!(failure, Some(Error::Problem(_))) => failure = Some(error),
            Err(_) => {}
        }
        if !ways.is_empty() {
            break;
        }
    }
    let Some(first) = ways.first() else {
        return Err(failure.unwrap_or_else(|| Error::Refused("no VM is known".to_owned())));
    };
    let (known, crossed) = (first.vm.clone(), first.way.clone());
    for step in crossed.split(" > ").filter(|step| *step != known.as_str()) {
        let member = members.iter().find(|member| member.vm.as_str() == step);
        ways.extend(member.and_then(|member| ask(member.address).ok()));
    }
    Ok(ways)
}

/// The replicas, each with what it says of itself where it can be reached.
pub(super) fn replicas(client: &Client) -> Result<Replicas, Error> {
    let mut known = Vec::new();
    for (vm, address) in holders(client)? {
        if let Ok(replicas) = client.at(address).get::<Replicas>("/replicas") {
            known.push((vm, replicas));
        }
    }
    let leads = |vm: &id::Vm, replicas: &Replicas| {
        replicas.replicas.iter().any(|replica| replica.leader && replica.vm == *vm)
    };
    let best = known.iter().find(|(vm, replicas)| leads(vm, replicas)).or(known.first());
    let Some((_, best)) = best else { return client.get("/replicas") };
    let mut joined = best.clone();
    for replica in &mut joined.replicas {
        let own = known.iter().find(|(vm, _)| *vm == replica.vm);
        let own = own.and_then(|(vm, own)| own.replicas.iter().find(|one| one.vm == *vm));
        replica.index = own.and_then(|own| own.index).or(replica.index);
    }
    Ok(joined)
}

/// Has the leader readmit the replica of `vm`.
pub(super) fn readmit(client: &Client, vm: &id::Vm) -> Result<Replicas, Error> {
    ask_leader(client, &Method::POST, &format!("/replicas/{vm}/readmit"))
}

/// Has the leader remove the replica of `vm`.
pub(super) fn remove(client: &Client, vm: &id::Vm) -> Result<Replicas, Error> {
    ask_leader(client, &Method::DELETE, &format!("/replicas/{vm}"))
}

fn ask_leader(client: &Client, method: &Method, path: &str) -> Result<Replicas, Error> {
    let states = replicas(client)?;
    let leader = states.replicas.iter().find(|replica| replica.leader);
    let members = client.get::<Status>("/status")?.members;
    let member = leader.and_then(|leader| members.iter().find(|member| member.vm == leader.vm));
    let client = member.map_or_else(|| client.clone(), |member| client.at(member.address));
    client.ask(method, path, &())
}

/// Accepts the risk on one VM: one of another region would accept it for that region.
pub(super) fn accept(client: &Client, operator: &str, words: &str) -> Result<Risk, Error> {
    if client.vms().len() != 1 {
        let text = "name one VM of the region that lost its disk, and no other, with `--vm`";
        return Err(Error::Usage(text.to_owned()));
    }
    let risk = Risk { words: words.to_owned(), operator: operator.to_owned() };
    client.ask(&Method::POST, "/claims/accept-risk", &risk)
}

/// Where the VMs stand that hold the lists.
fn holders(client: &Client) -> Result<Vec<(id::Vm, SocketAddr)>, Error> {
    let Status { replicas, members, .. } = client.get("/status")?;
    let holders = members.into_iter().filter(|member| replicas.contains(&member.vm));
    Ok(holders.map(|member| (member.vm, member.address)).collect())
}
