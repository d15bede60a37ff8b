//! The program that runs one stand-in, or calls one.

mod cmd;

use eyre::Result;

fn main() -> Result<()> {
    let options: cmd::CommandOptions = argh::from_env();
    let env = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(env).init();
    options.run()
}
