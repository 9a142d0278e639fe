//! JSON layout of log lines.
//!
//! A line begins with its time, level, event and request, because collectors
//! may keep only the first part of a line. The other fields follow in the order
//! in which the code states them, then the message and the place in the source.

use std::fmt::Arguments;

use jiff::Timestamp;
use logforth::{
    Diagnostic, Error, Layout,
    kv::{KeyView, ValueView, Visitor},
    record::Record,
};
use serde::{Serialize, Serializer, ser::SerializeMap};

/// Fields that come first, in this order.
const LEADING_FIELDS: [&str; 2] = ["name", "request"];

/// Layout with the fields that identify an event and its request in front.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventLayout;

/// Fields of a line, in the order in which they are written.
#[derive(Debug, Default)]
struct LineFields(Vec<(String, serde_json::Value)>);

impl LineFields {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Moves the fields that identify a line to the front.
    fn sort(&mut self) {
        self.0.sort_by_key(|(key, _)| {
            LEADING_FIELDS
                .iter()
                .position(|leading| leading == key)
                .unwrap_or(LEADING_FIELDS.len())
        });
    }
}

impl Serialize for LineFields {
    fn serialize<S: Serializer>(
        &self,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.0.len()))?;
        for (key, value) in &self.0 {
            map.serialize_entry(key, value)?;
        }
        map.end()
    }
}

impl Visitor for LineFields {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let value = serde_json::to_value(&value)
            .unwrap_or_else(|_| value.to_string().into());
        self.0.push((key.to_string(), value));
        Ok(())
    }
}

/// One line; the order of the fields is the order in the output.
#[derive(Debug, Serialize)]
struct EventLine<'a> {
    timestamp: String,
    level: &'a str,
    #[serde(skip_serializing_if = "LineFields::is_empty")]
    kvs: LineFields,
    message: Arguments<'a>,
    target: &'a str,
    file: &'a str,
    line: u32,
    #[serde(skip_serializing_if = "LineFields::is_empty")]
    diags: LineFields,
}

impl Layout for EventLayout {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        // A clock outside the range of timestamps must not end the process.
        let time = Timestamp::try_from(record.time()).unwrap_or_default();
        let mut kvs = LineFields::default();
        record.key_values().visit(&mut kvs)?;
        kvs.sort();
        let mut diags = LineFields::default();
        for diagnostic in diagnostics {
            diagnostic.visit(&mut diags)?;
        }
        let line = EventLine {
            timestamp: format!("{time:.6}"),
            level: record.level().name(),
            kvs,
            message: record.payload(),
            target: record.target(),
            file: record.file().unwrap_or_default(),
            line: record.line().unwrap_or_default(),
            diags,
        };
        serde_json::to_vec(&line).map_err(|error| {
            Error::new("a log line cannot be encoded").with_source(error)
        })
    }
}
