use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::RangeInclusive,
    path::Path,
};

use serde_json::value::RawValue;

use super::{
    Problem, Settings,
    place::{character, elements, members},
    sections,
};

const REPLICA_LIMIT: usize = 7;
const DIGEST_DIGITS: usize = 64;
const BODY_BYTES: RangeInclusive<u64> = 1_024..=1_073_741_824;
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;
const STOP_GRACE_MS: RangeInclusive<u64> = 1_000..=86_400_000;
const CONNECT_MS: RangeInclusive<u64> = 1..=60_000;
/// The fields whose checks look at one another.
const ADDRESSING: [&str; 8] =
    ["vm", "region", "zone", "callers", "links", "peers", "replicas", "data"];
const ORDER_LOADS: RangeInclusive<u64> = 1..=1_000;
const ORDER_MS: RangeInclusive<u64> = 1_000..=86_400_000;
const QUEUE_FRAMES: RangeInclusive<u64> = 1..=1_048_576;

/// The problems of the text's form: each field is read alone, so that all errors come at once.
pub(super) fn form(text: &str) -> Vec<Problem> {
    if let Err(cause) = serde_json::from_str::<&RawValue>(text) {
        return vec![whole(text, &cause)];
    }
    let Some(fields) = members(text) else {
        let remedy = "write a JSON object; see docs/SETTINGS.md";
        return vec![Problem::error("", "the file is not one JSON object", remedy)];
    };
    fields.iter().flat_map(|(name, raw)| field(name, raw.get())).collect()
}

/// The problem that the file shows only as a whole, such as a field that stands twice.
pub(super) fn whole(text: &str, cause: &serde_json::Error) -> Problem {
    let span = character(text, cause.line(), cause.column());
    let remedy = "correct the JSON; see docs/SETTINGS.md";
    Problem { span, ..Problem::error("", cause.to_string(), remedy) }
}

/// The problems of one field: of each element of an array and each member of a section, or else of
/// the field as a whole.
fn field(name: &str, value: &str) -> Vec<Problem> {
    let parts = match (elements(value), members(value)) {
        (Some(elements), _) => array(name, &elements),
        (_, Some(members)) => section(name, &members),
        _ => Vec::new(),
    };
    if !parts.is_empty() {
        return parts;
    }
    part(&format!("{{{}:{value}}}", quoted(name)), name, name).into_iter().collect()
}

fn array(name: &str, elements: &[&RawValue]) -> Vec<Problem> {
    let alone = |(place, element): (usize, &&RawValue)| {
        let text = format!("{{{}:[{}]}}", quoted(name), element.get());
        part(&text, &format!("{name}[{place}]"), &format!("{name}[0]"))
    };
    elements.iter().enumerate().filter_map(alone).collect()
}

fn section(name: &str, members: &BTreeMap<String, &RawValue>) -> Vec<Problem> {
    let alone = |(member, value): (&String, &&RawValue)| {
        let text = format!("{{{}:{{{}:{}}}}}", quoted(name), quoted(member), value.get());
        let path = format!("{name}.{member}");
        part(&text, &path, &path)
    };
    members.iter().filter_map(alone).collect()
}

/// The name as JSON.
fn quoted(name: &str) -> String {
    serde_json::Value::from(name).to_string()
}

/// Reads `text`, which holds one part of the settings; `path` names the part in the whole file,
/// and `local` in `text`.
fn part(text: &str, path: &str, local: &str) -> Option<Problem> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let failure = serde_path_to_error::deserialize::<_, Settings>(&mut reader).err()?;
    let found = failure.path().to_string();
    let deeper = found.strip_prefix(local).unwrap_or_default();
    let detail = failure.inner().to_string();
    let detail = detail.split(" at line ").next().unwrap_or_default();
    let detail = match detail.split_once(", expected") {
        Some((unknown, _)) if unknown.starts_with("unknown field") => unknown,
        _ => detail,
    };
    Some(Problem::error(&format!("{path}{deeper}"), detail, remedy(detail)))
}

fn remedy(detail: &str) -> &'static str {
    if detail.starts_with("unknown field") {
        "remove or rename it; docs/SETTINGS.md lists the fields"
    } else if detail.contains("socket address") {
        "write an IP number and a port, such as `127.0.0.1:8080`"
    } else if detail.starts_with("missing field") {
        "add the field; docs/SETTINGS.md says what it holds"
    } else {
        "write a value as docs/SETTINGS.md describes it"
    }
}

/// The settings without the fields that `problems` name, for the checks of what they mean.
pub(super) fn sound(text: &str, problems: &[Problem]) -> Option<Settings> {
    let mut fields = members(text)?;
    fields.retain(|name, _| !problems.iter().any(|problem| root(&problem.field) == name));
    serde_json::from_str(&serde_json::to_string(&fields).ok()?).ok()
}

/// Whether a problem of the meaning may come from `form`, the problems of other fields' form.
pub(super) fn follows(meaning: &Problem, form: &[Problem]) -> bool {
    let addressing = |problem: &Problem| ADDRESSING.contains(&root(&problem.field));
    addressing(meaning) && form.iter().any(addressing)
}

fn root(field: &str) -> &str {
    field.split(['.', '[']).next().unwrap_or_default()
}

/// The problems of what the settings mean.
pub(super) fn meaning(settings: &Settings, folder: &Path) -> Vec<Problem> {
    let mut problems = addresses(settings);
    problems.extend(peers(settings));
    problems.extend(replicas(settings));
    problems.extend(operators(settings));
    problems.extend(ranges(settings));
    problems.extend(sections::ranges(settings));
    problems.extend(stocks(settings));
    problems.extend(files(settings, folder));
    problems
}

fn addresses(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    if settings.callers == settings.links {
        let detail = format!("`callers` and `links` both are {}", settings.links);
        problems.push(Problem::error("links", detail, "give links a port of their own"));
    }
    for (field, address) in [("callers", settings.callers), ("links", settings.links)] {
        if address.ip().is_unspecified() || address.port() == 0 {
            let detail = format!("the directory and other VMs would name {address}");
            let remedy = "write this VM's own IP number and a port";
            problems.push(Problem::error(field, detail, remedy));
        }
    }
    for (name, value) in [
        ("vm", settings.vm.as_str()),
        ("region", settings.region.as_str()),
        ("zone", settings.zone.as_str()),
    ] {
        if value.is_empty() {
            problems.push(Problem::error(name, "the name is empty", "write a name"));
        }
    }
    problems
}

fn peers(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut names = BTreeSet::new();
    let mut taken = BTreeSet::new();
    for (place, peer) in settings.peers.iter().enumerate() {
        if !names.insert(&peer.vm) {
            let detail = format!("VM `{}` stands here twice", peer.vm);
            let remedy = "give each VM a name of its own, and one entry";
            problems.push(Problem::error(&format!("peers[{place}].vm"), detail, remedy));
        }
        for (field, address) in [("callers", peer.callers), ("links", peer.links)] {
            let field = format!("peers[{place}].{field}");
            problems.extend(peer_address(&field, address, taken.insert(address)));
        }
        if peer.vm == settings.vm && *peer != settings.this() {
            let remedy = "make region, zone and addresses of both equal";
            let detail = "this VM's own entry differs from its settings";
            problems.push(Problem::error(&format!("peers[{place}]"), detail, remedy));
        }
    }
    problems
}

fn peer_address(field: &str, address: SocketAddr, free: bool) -> Option<Problem> {
    if address.ip().is_unspecified() || address.port() == 0 {
        let detail = format!("nobody can reach {address}");
        return Some(Problem::error(field, detail, "write the IP number and port of that VM"));
    }
    let detail = || format!("{address} stands here twice");
    (!free).then(|| Problem::error(field, detail(), "give each use a port of its own"))
}

fn replicas(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    let known: BTreeSet<_> = settings.peers.iter().map(|peer| &peer.vm).collect();
    let mut seen = BTreeSet::new();
    for (place, replica) in settings.replicas.iter().enumerate() {
        let field = format!("replicas[{place}]");
        if *replica != settings.vm && !known.contains(replica) {
            let detail = format!("VM `{replica}` is neither this VM nor among `peers`");
            problems.push(Problem::error(&field, detail, "add it to `peers`, or correct its name"));
        }
        if !seen.insert(replica) {
            let detail = format!("VM `{replica}` stands here twice");
            problems.push(Problem::error(&field, detail, "name each replica once"));
        }
        if *replica == settings.vm && settings.data.is_none() {
            let detail = "this VM is a replica, but has no data folder";
            problems.push(Problem::error(&field, detail, "set `data` to a folder on its disk"));
        }
    }
    let count = settings.replicas.len();
    if count > REPLICA_LIMIT {
        let detail = format!("{count} replicas are more than {REPLICA_LIMIT}");
        problems.push(Problem::error("replicas", detail, "name 3, 5 or 7 VMs"));
    } else if count > 0 && count.is_multiple_of(2) {
        let detail = format!("{count} replicas survive no more failures than {}", count - 1);
        problems.push(Problem::warning("replicas", detail, "name an odd number of VMs"));
    }
    problems
}

fn operators(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (place, digest) in settings.operators.iter().enumerate() {
        let hexadecimal = digest.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if digest.len() != DIGEST_DIGITS || !hexadecimal {
            let detail = "not a SHA-256 digest of 64 hexadecimal digits in lower case";
            let remedy = "write what `pomelogate key digest` prints for the key";
            problems.push(Problem::error(&format!("operators[{place}]"), detail, remedy));
        }
    }
    problems
}

fn ranges(settings: &Settings) -> Vec<Problem> {
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    let checks = [
        ("body_limit", count(settings.body_limit), BODY_BYTES, "bytes"),
        ("deadline_ms", settings.deadline_ms, DEADLINE_MS, "milliseconds"),
        ("stop_grace_ms", settings.stop_grace_ms, STOP_GRACE_MS, "milliseconds"),
        ("link.connect_ms", settings.link.connect_ms, CONNECT_MS, "milliseconds"),
        ("link.queue", count(settings.link.queue), QUEUE_FRAMES, "frames"),
        ("orders.loads", count(settings.orders.loads), ORDER_LOADS, "loads"),
        ("orders.window_ms", settings.orders.window_ms, ORDER_MS, "milliseconds"),
        ("orders.refusal_pause_ms", settings.orders.refusal_pause_ms, ORDER_MS, "milliseconds"),
        ("orders.residence_ms", settings.orders.residence_ms, ORDER_MS, "milliseconds"),
        ("orders.patience_ms", settings.orders.patience_ms, ORDER_MS, "milliseconds"),
    ];
    checks
        .into_iter()
        .filter(|(_, value, range, _)| !range.contains(value))
        .map(|(field, value, range, unit)| {
            let detail = format!("{value} is out of range");
            let remedy = format!("use {} to {} {unit}", range.start(), range.end());
            Problem::error(field, detail, &remedy)
        })
        .collect()
}

fn stocks(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for (place, stock) in settings.orders.weights.iter().enumerate() {
        if stock.minimum == 0 {
            let remedy = "use at least 1 target, or leave the model out";
            let field = format!("orders.weights[{place}].minimum");
            problems.push(Problem::error(&field, "0 targets would never load it", remedy));
        }
        if !seen.insert((&stock.model, &stock.version)) {
            let detail = format!("`{}@{}` stands here twice", stock.model, stock.version);
            let field = format!("orders.weights[{place}]");
            problems.push(Problem::error(&field, detail, "name each version of a model once"));
        }
    }
    problems
}

fn files(settings: &Settings, folder: &Path) -> Vec<Problem> {
    let named = [
        ("names", &settings.names),
        ("plans", &settings.plans),
        ("allowances", &settings.allowances),
    ];
    let mut problems = Vec::new();
    for (field, path) in named {
        let Some(path) = path else { continue };
        if !folder.join(path).is_file() {
            let detail = format!("there is no file {}", path.display());
            let remedy = "correct the path; it starts from the folder of the settings file";
            problems.push(Problem::error(field, detail, remedy));
        }
    }
    problems
}
