//! Terminal output of the operator commands: messages, tables and colour.

use std::{
    fmt::Display,
    io::{self, Write},
};

use borageline_lib::{peer_api::OrderReport, query::OrderPreview};
use owo_colors::{OwoColorize, Stream};
use serde_json::Value;

use crate::commands::ExitReason;

/// Writes text to standard output.
///
/// A closed pipe is not an error: a reader such as `head` closes it early.
pub(crate) fn print_text(text: &str) -> ExitReason {
    let mut output = io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Ok(()) => ExitReason::Done,
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
            ExitReason::Done
        }
        Err(error) => {
            print_error(format_args!("output not written: {error}"));
            ExitReason::Failed
        }
    }
}

/// Writes an error message to standard error.
pub(crate) fn print_error(message: impl Display) {
    let label = "error:";
    let label = label.if_supports_color(Stream::Stderr, |text| text.red());
    eprintln!("{label} {message}");
}

/// Writes a hint to standard error.
pub(crate) fn print_hint(message: impl Display) {
    let label = "hint:";
    let label = label.if_supports_color(Stream::Stderr, |text| text.cyan());
    eprintln!("{label} {message}");
}

/// Renders a report on an order, one field per line.
pub(crate) fn render_report(report: &OrderReport) -> String {
    let yes_no = |value| if value { "yes" } else { "no" };
    let accepted = match report.accepted {
        Some(true) => paint_good("yes"),
        Some(false) => paint_bad("no"),
        None => paint_bad("not known"),
    };
    let offset = report.offset.map(|offset| offset.to_string());
    let waiting: Vec<_> = report
        .waiting_for
        .iter()
        .map(|instance| instance.as_str())
        .collect();
    let run_state = serde_json::to_value(report.run_state)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned));
    let mut lines =
        vec![("order", report.order.to_string()), ("accepted", accepted)];
    lines.extend(offset.map(|offset| ("offset", offset)));
    lines.extend(report.reason.as_ref().map(|it| ("reason", it.to_string())));
    lines.push(("in force", yes_no(report.in_force).to_owned()));
    if !waiting.is_empty() {
        lines.push(("waiting for", waiting.join(", ")));
    }
    lines.extend(run_state.map(|state| ("run state", state)));
    let lines = lines
        .iter()
        .map(|(name, value)| format!("{name:<11}  {value}\n"));
    lines.collect()
}

fn paint_good(text: &str) -> String {
    text.if_supports_color(Stream::Stdout, |text| text.green())
        .to_string()
}

fn paint_bad(text: &str) -> String {
    text.if_supports_color(Stream::Stdout, |text| text.red())
        .to_string()
}

/// Renders what an order would change, one value per line.
pub(crate) fn render_preview(preview: &OrderPreview) -> String {
    let version = preview.version;
    let mut text = format!("version {version}, nothing was changed\n");
    if preview.changes.is_empty() {
        text += "the order would change nothing\n";
    }
    for line in &preview.changes {
        let (path, before, after) = (&line.path, &line.before, &line.after);
        text += &format!("{path}: {before} -> {after}\n");
    }
    text
}

/// Writes a warning to standard error for each instance whose rows are missing
/// from an answer, and for rows dropped because of a limit.
pub(crate) fn print_incomplete(answer: &Value) {
    let label = "warning:";
    let label = label.if_supports_color(Stream::Stderr, |text| text.yellow());
    let list = |name: &str| {
        let items = answer.get(name).and_then(Value::as_array);
        items.cloned().unwrap_or_default()
    };
    for missing in list("missing") {
        let instance = render_cell(missing.get("instance"));
        let reason = render_cell(missing.get("reason"));
        eprintln!("{label} rows of {instance} are missing: {reason}");
    }
    for cut in list("cut") {
        let rows = render_cell(cut.get("rows"));
        let source = match cut.get("instance").and_then(Value::as_str) {
            Some(instance) => format!("of {instance} "),
            None => String::new(),
        };
        eprintln!("{label} {rows} rows {source}are left out over the bound");
    }
}

/// Renders the rows of an answer as a table. An answer of another form is
/// rendered as JSON.
pub(crate) fn render_rows(answer: &Value) -> String {
    let rows = answer.get("rows").unwrap_or(answer);
    let objects: Option<Vec<_>> = rows
        .as_array()
        .map(|items| items.iter().map(Value::as_object).collect())
        .unwrap_or_default();
    let Some(objects) = objects else {
        return format!("{answer:#}\n");
    };
    let columns = answer.get("columns").and_then(Value::as_array);
    let columns = columns.into_iter().flatten();
    let mut names: Vec<&str> = columns.filter_map(Value::as_str).collect();
    for name in objects.iter().flat_map(|object| object.keys()) {
        if !names.contains(&name.as_str()) {
            names.push(name);
        }
    }
    let header = names.iter().map(|name| name.to_uppercase()).collect();
    let cells = |object: &&serde_json::Map<String, Value>| {
        names
            .iter()
            .map(|name| render_cell(object.get(*name)))
            .collect()
    };
    let lines: Vec<Vec<String>> = std::iter::once(header)
        .chain(objects.iter().map(cells))
        .collect();
    let width = |column: usize| {
        let lengths = lines.iter().map(|line| line[column].chars().count());
        lengths.max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..names.len()).map(width).collect();
    let mut text = String::new();
    for (index, line) in lines.iter().enumerate() {
        let padded = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        let joined = padded.collect::<Vec<_>>().join("  ");
        let joined = joined.trim_end();
        if index == 0 {
            text += &paint_header(joined);
        } else {
            text += joined;
        }
        text.push('\n');
    }
    text
}

fn paint_header(text: &str) -> String {
    text.if_supports_color(Stream::Stdout, |text| text.bold())
        .to_string()
}

fn render_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => printable(text),
        Some(Value::Array(items)) => {
            let items = items.iter().map(|item| render_cell(Some(item)));
            items.collect::<Vec<_>>().join(",")
        }
        Some(other) => other.to_string(),
    }
}

/// Escapes characters that a terminal may not show as they are, such as control
/// characters and those that change the direction of text.
pub(crate) fn escape_text(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for char in text.chars() {
        match char {
            // The quotes of names in messages stay as they are.
            '"' | '\'' | '\\' => escaped.push(char),
            _ => escaped.extend(char.escape_debug()),
        }
    }
    escaped
}

/// Renders JSON in printable ASCII only.
pub(crate) fn ascii_json(value: &Value) -> String {
    let text = format!("{value:#}");
    let mut ascii = String::with_capacity(text.len());
    for char in text.chars() {
        if char == '\n' || char.is_ascii() && !char.is_ascii_control() {
            ascii.push(char);
            continue;
        }
        for unit in char.encode_utf16(&mut [0; 2]) {
            ascii += &format!("\\u{unit:04x}");
        }
    }
    ascii
}

/// Replaces control characters by spaces, since they could change the state of
/// the terminal.
fn printable(text: &str) -> String {
    let clean = |char: char| if char.is_control() { ' ' } else { char };
    text.chars().map(clean).collect()
}
