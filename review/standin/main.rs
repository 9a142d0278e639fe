//! Stand-ins of the users' platform for the scripts of this review, and the
//! scenes that the scripts play.
//!
//! `review-standin SCENE RECORD FOLDER`: starts the program of the deploy file,
//! plays a scene, writes what was sent, answered and run to RECORD, and exits
//! with 1 if a rule was broken, 0 if it held and 2 if the scene could not be
//! played. With `TROUBLE=0` in the environment it plays the scene without its
//! disruption. FOLDER is for temporary files.

mod callers;
mod crashing;
mod gateway;
mod harmful_part;
mod http;
mod model;
mod plain;
mod planned_stop;
mod record;
mod site;
mod stale_entry;
mod store;
mod tenant_name;
mod uploads;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// What a scene is given.
pub struct Scene {
    pub record: Record,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub with_trouble: bool,
}

/// Whether the rule was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

impl Outcome {
    pub fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, record, folder] = &arguments[..] else {
        eprintln!("usage: review-standin SCENE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let scene = Scene {
        record: Record::create(record),
        folder: folder.into(),
        with_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let played = match name.as_str() {
        "harmful-part" => harmful_part::run(&scene),
        "planned-stop" => planned_stop::run(&scene),
        "stale-entry" => stale_entry::run(&scene),
        "tenant-name" => tenant_name::run(&scene),
        "uploads" => uploads::run(&scene),
        _ => Err(format!("no scene {name}")),
    };
    match played {
        Ok(Outcome::Held) => {
            scene.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            scene.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(text) => {
            scene
                .record
                .say(&format!("the scene could not be played: {text}"));
            ExitCode::from(2)
        }
    }
}
