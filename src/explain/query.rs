use std::fmt;

/// A request to explain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its prompt tokens and the most output tokens, as callers declare them.
    pub tokens: Option<String>,
    /// The parts of its prompt, as callers declare them.
    pub parts: Option<String>,
    /// The name of the organisation that sends it.
    pub organisation: Option<String>,
}

/// Why a query cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryError {
    /// A field is missing.
    Missing(&'static str),
    /// There is no such field.
    Unknown(String),
    /// A field is given twice.
    Repeated(&'static str),
    /// A field has no valid value.
    Invalid(&'static str, &'static str),
    /// There is no such organisation.
    NoOrganisation(String),
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(field) => write!(f, "`{field}` is missing; add it"),
            Self::Unknown(field) => write!(
                f,
                "there is no field `{field}`; use host, path, tokens, parts and organisation"
            ),
            Self::Repeated(field) => write!(f, "`{field}` is given twice; give it once"),
            Self::Invalid(field, remedy) => write!(f, "`{field}` cannot be read; {remedy}"),
            Self::NoOrganisation(name) => {
                write!(f, "the VM knows no organisation `{name}`; check its name")
            }
        }
    }
}

impl std::error::Error for QueryError {}

impl Query {
    /// Reads the query of a URI, with values in percent-encoding.
    ///
    /// ```
    /// use pomelogate::explain::Query;
    ///
    /// let query = Query::parse("host=a.example&path=%2Fchat&tokens=800,40").unwrap();
    /// assert_eq!((query.host.as_str(), query.path.as_str()), ("a.example", "/chat"));
    /// assert!(Query::parse("host=a.example").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// If a field is missing, repeated, unknown or not valid.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let [mut host, mut path, mut tokens, mut parts, mut organisation] = [const { None }; 5];
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, field) = match name {
                "host" => ("host", &mut host),
                "path" => ("path", &mut path),
                "tokens" => ("tokens", &mut tokens),
                "parts" => ("parts", &mut parts),
                "organisation" => ("organisation", &mut organisation),
                other => return Err(QueryError::Unknown(decode(other).unwrap_or_default())),
            };
            let value = decode(value)
                .ok_or(QueryError::Invalid(name, "write it in UTF-8 and percent-encoding"))?;
            if field.replace(value).is_some() {
                return Err(QueryError::Repeated(name));
            }
        }
        let query = Self {
            host: host.ok_or(QueryError::Missing("host"))?,
            path: path.ok_or(QueryError::Missing("path"))?,
            tokens,
            parts,
            organisation,
        };
        query.check()?;
        Ok(query)
    }

    /// Checks the values of the fields.
    ///
    /// # Errors
    ///
    /// If a value is not valid.
    pub fn check(&self) -> Result<(), QueryError> {
        if self.host.is_empty() {
            return Err(QueryError::Invalid("host", "name the host of the request"));
        }
        if !self.path.starts_with('/') {
            return Err(QueryError::Invalid("path", "begin it with `/`"));
        }
        let is_number = |text: &str| text.trim().parse::<u32>().is_ok();
        let numbers =
            |text: &String| text.split(',').all(is_number) && text.split(',').count() <= 2;
        if !self.tokens.as_ref().is_none_or(numbers) {
            return Err(QueryError::Invalid("tokens", "write `PROMPT,OUTPUT` in numbers"));
        }
        let is_part = |part: &str| {
            part.trim()
                .split_once(':')
                .is_some_and(|(id, tokens)| !id.is_empty() && is_number(tokens))
        };
        if !self.parts.as_ref().is_none_or(|parts| parts.split(',').all(is_part)) {
            return Err(QueryError::Invalid("parts", "write `IDENTIFIER:TOKENS,...`"));
        }
        Ok(())
    }

    /// The query of a URI that [`Query::parse`] reads.
    pub fn encode(&self) -> String {
        let fields = [
            ("host", Some(&self.host)),
            ("path", Some(&self.path)),
            ("tokens", self.tokens.as_ref()),
            ("parts", self.parts.as_ref()),
            ("organisation", self.organisation.as_ref()),
        ];
        let pair =
            |(name, value): (&str, Option<&String>)| Some(format!("{name}={}", encode(value?)));
        fields.into_iter().filter_map(pair).collect::<Vec<_>>().join("&")
    }
}

fn encode(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode = |byte: u8| {
        if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") }
    };
    text.bytes().map(encode).collect()
}

/// Decodes percent-encoding; nothing if it or the text is malformed.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digit = |byte: u8| char::from(byte).to_digit(16);
                let (high, low) = (digit(rest.next()?)?, digit(rest.next()?)?);
                u8::try_from(high * 16 + low).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
