//! Takes the fields of a JSON object one by one, so that all invalid fields are reported together.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use crate::fault::Faults;
use crate::secret::Secret;

/// Maximum length of a name or label, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Minimum key length in bytes: the output size of the HMAC-SHA-256 digests computed with it.
const MIN_KEY_BYTES: usize = 32;
const REDACTED: &str = "(hidden)";

/// The fields of an object that have not been taken yet, with the path of the object.
pub(crate) struct Fields<'a> {
    path: String,
    fields: Map<String, Value>,
    faults: &'a mut Faults,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(path: &str, value: Value, faults: &'a mut Faults) -> Self {
        let fields = match value {
            Value::Object(fields) => fields,
            other => {
                let shown = kind_of(&other);
                faults.add(
                    if path.is_empty() { "settings" } else { path },
                    &shown,
                    "expected an object",
                );
                Map::new()
            }
        };
        Self {
            path: path.to_owned(),
            fields,
            faults,
        }
    }

    fn path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    pub(crate) fn add_fault(&mut self, name: &str, value: &dyn Display, allowed: &str) {
        let path = self.path(name);
        self.faults.add(&path, value, allowed);
    }

    fn take(&mut self, name: &str, allowed: &str) -> Option<Value> {
        let value = self.fields.remove(name);
        if value.is_none() {
            self.add_fault(name, &"nothing", &format!("required: {allowed}"));
        }
        value
    }

    /// Takes a name. Its characters are restricted to those that are safe in paths and log lines.
    pub(crate) fn name(&mut self, name: &str) -> Option<String> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        self.text(
            name,
            "1 to 64 characters of a-z, A-Z, 0-9, -, _ and .",
            is_allowed,
        )
    }

    /// Takes a text without control characters.
    pub(crate) fn label(&mut self, name: &str) -> Option<String> {
        self.text(name, "1 to 64 bytes without control characters", |c| {
            !c.is_control()
        })
    }

    fn text(
        &mut self,
        name: &str,
        allowed: &str,
        is_allowed: impl Fn(char) -> bool,
    ) -> Option<String> {
        match self.take(name, allowed)? {
            Value::String(text)
                if !text.is_empty()
                    && text.len() <= MAX_NAME_BYTES
                    && text.chars().all(is_allowed) =>
            {
                Some(text)
            }
            other => {
                self.add_fault(name, &other, allowed);
                None
            }
        }
    }

    /// Takes an IP address and port.
    pub(crate) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let allowed = "an IP address and port, such as 10.0.0.7:7101";
        let value = self.take(name, allowed)?;
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.add_fault(name, &value, allowed);
        }
        address
    }

    /// Takes an address to connect to, so neither the port is 0 nor the IP address unspecified.
    pub(crate) fn remote_address(&mut self, name: &str) -> Option<SocketAddr> {
        let address = self.address(name)?;
        if address.port() == 0 || address.ip().is_unspecified() {
            let value = format!("\"{address}\"");
            self.add_fault(
                name,
                &value,
                "an address to connect to, with a port above 0",
            );
            return None;
        }
        Some(address)
    }

    /// Takes a list of addresses to connect to, empty if absent.
    pub(crate) fn remote_addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let allowed = "a list of IP addresses and ports, such as [\"10.0.0.7:7201\"]";
        let Some(value) = self.fields.remove(name) else {
            return Vec::new();
        };
        let Some(values) = value.as_array() else {
            self.add_fault(name, &kind_of(&value), allowed);
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for (index, value) in values.iter().enumerate() {
            match value
                .as_str()
                .and_then(|text| text.parse::<SocketAddr>().ok())
            {
                Some(address) if address.port() > 0 => addresses.push(address),
                _ => self.add_fault(&format!("{name}[{index}]"), value, "an IP address and port"),
            }
        }
        addresses
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.fields.contains_key(name)
    }

    /// Takes an integer in a range, `default` if absent.
    pub(crate) fn number(&mut self, name: &str, default: u32, range: RangeInclusive<u32>) -> u32 {
        let Some(value) = self.fields.remove(name) else {
            return default;
        };
        let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.add_fault(name, &value, &allowed);
                default
            }
        }
    }

    /// Takes one of several allowed strings, `default` if absent.
    pub(crate) fn one_of(&mut self, name: &str, default: &str, allowed_values: &[&str]) -> String {
        let Some(value) = self.fields.remove(name) else {
            return default.to_owned();
        };
        match value.as_str() {
            Some(value) if allowed_values.contains(&value) => value.to_owned(),
            _ => {
                self.add_fault(
                    name,
                    &value,
                    &format!("one of {}", allowed_values.join(", ")),
                );
                default.to_owned()
            }
        }
    }

    /// Takes an optional non-empty string.
    pub(crate) fn optional_text(&mut self, name: &str) -> Option<String> {
        match self.fields.remove(name)? {
            Value::String(text) if !text.is_empty() => Some(text),
            other => {
                self.add_fault(name, &other, "a string that is not empty");
                None
            }
        }
    }

    /// Takes a key. Faults do not contain its value.
    pub(crate) fn secret(&mut self, name: &str) -> Option<Secret> {
        let allowed = format!("a key of at least {MIN_KEY_BYTES} bytes");
        match self.take(name, &allowed)? {
            Value::String(text) if text.len() >= MIN_KEY_BYTES => Some(Secret::new(text)),
            Value::String(text) => {
                let shown = format!("{REDACTED} of {} bytes", text.len());
                self.add_fault(name, &shown, &allowed);
                None
            }
            _ => {
                self.add_fault(name, &REDACTED, &allowed);
                None
            }
        }
    }

    /// Takes a nested object and calls `read` on its fields.
    pub(crate) fn object<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name, "an object")?;
        let path = self.path(name);
        read_object(&path, value, self.faults, read)
    }

    /// Takes a list of objects, empty if absent, and calls `read` on the fields of each.
    pub(crate) fn list<T>(
        &mut self,
        name: &str,
        limit: usize,
        mut read: impl FnMut(&mut Fields<'_>) -> Option<T>,
    ) -> Vec<T> {
        let values = match self.fields.remove(name) {
            None => return Vec::new(),
            Some(Value::Array(values)) => values,
            Some(other) => {
                self.add_fault(name, &kind_of(&other), "expected a list");
                return Vec::new();
            }
        };
        if values.len() > limit {
            let shown = format!("{} items", values.len());
            self.add_fault(name, &shown, &format!("at most {limit} are allowed"));
        }
        let path = self.path(name);
        let items = values.into_iter().take(limit).enumerate();
        items
            .filter_map(|(index, value)| {
                read_object(&format!("{path}[{index}]"), value, self.faults, &mut read)
            })
            .collect()
    }

    /// Adds a fault for each field that has not been taken.
    pub(crate) fn report_unknown_fields(mut self) {
        for name in std::mem::take(&mut self.fields).keys() {
            self.add_fault(name, &REDACTED, "unknown field");
        }
    }
}

fn read_object<T>(
    path: &str,
    value: Value,
    faults: &mut Faults,
    read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Option<T> {
    let is_object = value.is_object();
    let mut fields = Fields::new(path, value, faults);
    if !is_object {
        return None;
    }
    let item = read(&mut fields);
    fields.report_unknown_fields();
    item
}

/// Returns the JSON type of a value that has the wrong type. The value itself is not shown, as it
/// may contain a key.
fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
