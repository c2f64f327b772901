use serde_json::{Map, Value};

/// One line of a VM's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the VM's clock.
    pub time: String,
    /// The VM.
    pub vm: String,
    /// The number of its event.
    pub event: u16,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

/// The fields that every line has.
const COMMON: [&str; 6] = ["msg", "level", "ts", "vm", "event", "request"];

impl Line {
    /// Reads a line; whatever stands before the JSON object is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else { return None };
        let text = |name: &str| fields.get(name).and_then(Value::as_str).map(ToOwned::to_owned);
        Some(Self {
            time: text("ts")?,
            vm: text("vm")?,
            event: u16::try_from(fields.get("event")?.as_u64()?).ok()?,
            message: text("msg")?,
            fields,
        })
    }

    /// A field of the line's own.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The same, empty where the line lacks it.
    pub fn text(&self, name: &str) -> &str {
        self.field(name).unwrap_or_default()
    }

    /// The milliseconds of its time since midnight.
    pub fn millis(&self) -> u64 {
        let time = self.time.split_once('T').map_or("", |(_, time)| time).trim_end_matches('Z');
        let mut parts = time.split(':').map(|part| part.parse::<f64>().unwrap_or(0.0));
        let mut next = || parts.next().unwrap_or(0.0);
        let seconds = next() * 3600.0 + next() * 60.0 + next();
        (seconds * 1000.0) as u64
    }

    /// The VM, the message and the fields, for people.
    pub fn summary(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let fields: Vec<String> = own
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!("{}  {}  {}", self.vm, self.message, fields.join(" "))
    }
}
