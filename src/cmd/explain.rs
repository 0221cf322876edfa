//! `jayreach explain`

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
            read(file, &mut lines)?;
        }
        let subjects = [
            self.endpoint.map(|it| Subject::Endpoint(it.into())),
            self.config.map(Subject::Config),
            self.fingerprint.map(|it| Subject::Fingerprint(it.into())),
            self.request.map(|it| Subject::Request(it.into())),
        ];
        let Some(subject) = subjects.into_iter().flatten().next() else {
            return Err(Error::Usage("name a request, an endpoint, a configuration or a fingerprint".into()));
        };
        let history = explain(&lines, &subject);
        for it in &history.lines {
            let fields = serde_json::to_string(&it.fields).expect("what was JSON is JSON");
            println!("{:.3} {} {} {fields}", it.time, it.proxy, it.event);
        }
        println!("{}", history.cause);
        Ok(())
    }
}

fn read(path: &Path, lines: &mut Vec<EventLine>) -> Result<(), Error> {
    let context = || path.display().to_string();
    let file = File::open(path).map_err(|it| Error::io(context(), it))?;
    for text in BufReader::new(file).lines() {
        let text = text.map_err(|it| Error::io(context(), it))?;
        lines.extend(EventLine::parse(&text));
    }
    Ok(())
}
