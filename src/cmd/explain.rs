//! `jayreach explain`

use std::{
    fs::File,
    io::{BufRead as _, BufReader},
    path::Path,
};

use crate::{
    cmd::{Run, args},
    error::Error,
    explain::{Line, Subject, explain},
};

impl Run for args::Explain {
    fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        for file in &self.files {
            read(file, &mut lines)?;
        }
        let subject = match (self.endpoint, self.config, self.request) {
            (Some(it), _, _) => Subject::Endpoint(it.into()),
            (_, Some(it), _) => Subject::Config(it),
            (_, _, Some(it)) => Subject::Request(it.into()),
            (None, None, None) => return Err(Error::Usage("name a request, an endpoint or a configuration".into())),
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

fn read(path: &Path, lines: &mut Vec<Line>) -> Result<(), Error> {
    let context = || path.display().to_string();
    let file = File::open(path).map_err(|it| Error::io(context(), it))?;
    for text in BufReader::new(file).lines() {
        let text = text.map_err(|it| Error::io(context(), it))?;
        lines.extend(Line::parse(&text));
    }
    Ok(())
}
