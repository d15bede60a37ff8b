//! Makes one call and prints the answer, so that a shell needs no HTTP client.

use std::io::{stdout, Write};

use actix_http::Method;
use applefold_standins::{expected_text, whole_text, StandinClient};
use bytes::Bytes;
use eyre::{bail, OptionExt, Result, WrapErr};

use super::CallArgs;

pub(crate) fn run(args: CallArgs) -> Result<()> {
    actix_rt::System::new().block_on(call(args))
}

async fn call(args: CallArgs) -> Result<()> {
    let client = client(&args)?;
    let body = Bytes::from(args.body.clone().unwrap_or_default());
    let method = args.method.clone().unwrap_or(match args.body {
        Some(_) => Method::POST,
        None => Method::GET,
    });
    let text = match args.stream {
        true => print_stream(&client, method, &args.path, body.clone()).await?,
        false => print_answer(&client, method, &args.path, body.clone()).await?,
    };
    let Some(tokens) = args.expect_tokens else {
        return Ok(());
    };
    let expected = expected_text(&body, tokens);
    let expected = expected.ok_or_eyre("the body is no chat request, so no answer is expected")?;
    if text != expected {
        bail!("the answer is not the expected one of {tokens} tokens");
    }
    Ok(())
}

fn client(args: &CallArgs) -> Result<StandinClient> {
    let mut client = StandinClient::new(args.address);
    if let Some(bearer) = &args.bearer {
        client = client.with_bearer(bearer);
    }
    for header in &args.header {
        let pair = header.split_once(':');
        let (name, value) = pair.ok_or_eyre("a header is written as name:value")?;
        client = client.with_header(name.trim(), value.trim());
    }
    Ok(client)
}

async fn print_stream(
    client: &StandinClient,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String> {
    let stream = client.open_stream(method, path, body).await;
    let mut stream = stream.wrap_err_with(|| format!("cannot open a stream of {path}"))?;
    let mut whole = String::new();
    loop {
        let text = stream.next_text().await;
        let Some(text) = text.wrap_err_with(|| "cannot read the stream to its end")? else {
            println!();
            return Ok(whole);
        };
        print!("{text}");
        stdout().flush().wrap_err_with(|| "cannot print the text")?;
        whole.push_str(&text);
    }
}

async fn print_answer(
    client: &StandinClient,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String> {
    let answer = client.call(method, path, body).await;
    let answer = answer.wrap_err_with(|| format!("cannot call {path}"))?;
    println!("{}", answer.text());
    let answer = answer
        .checked()
        .wrap_err_with(|| format!("cannot get {path}"))?;
    Ok(whole_text(&answer.body).unwrap_or_default())
}
