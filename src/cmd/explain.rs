//! `jayreach explain`: prints the event lines about a subject and their cause.

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::Path,
};

use crate::{
    cmd::{Run, args},
    error::Error,
    explain::{EventLine, Subject, explain},
};

impl Run for args::Explain {
    fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        for file in &self.files {
            read_lines(file, &mut lines)?;
        }
        let subjects = [
            self.endpoint.map(|it| Subject::Endpoint(it.into())),
            self.config.map(Subject::Config),
            self.fingerprint.map(|it| Subject::Fingerprint(it.into())),
            self.request.map(|it| Subject::Request(it.into())),
        ];
        let Some(subject) = subjects.into_iter().flatten().next() else {
            return Err(Error::Usage("one of --request, --endpoint, --config or --fingerprint is required".into()));
        };
        let history = explain(&lines, &subject);
        for it in &history.lines {
            let fields = serde_json::to_string(&it.fields).expect("parsed JSON can be encoded");
            println!("{:.3} {} {} {fields}", it.time, it.proxy, it.event);
        }
        println!("{}", history.cause);
        Ok(())
    }
}

/// Appends the event lines of a file to `lines`; other lines are skipped.
fn read_lines(path: &Path, lines: &mut Vec<EventLine>) -> Result<(), Error> {
    let context = || path.display().to_string();
    let file = File::open(path).map_err(|it| Error::io(context(), it))?;
    for text in BufReader::new(file).lines() {
        let text = text.map_err(|it| Error::io(context(), it))?;
        lines.extend(EventLine::parse(&text));
    }
    Ok(())
}
