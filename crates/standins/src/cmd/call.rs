//! Sends one request and prints the response, so that shell scripts need no HTTP client.

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
    let expected =
        expected.ok_or_eyre("cannot check --expect-tokens: the body is not a chat request")?;
    if text != expected {
        bail!("the response differs from the expected first {tokens} tokens");
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
        let (name, value) = pair.ok_or_eyre("invalid --header: expected name:value")?;
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
    let mut stream = stream.wrap_err_with(|| format!("cannot open a stream from {path}"))?;
    let mut received = String::new();
    loop {
        let text = stream.next_text().await;
        let Some(text) = text.wrap_err_with(|| "cannot read the stream to its end")? else {
            println!();
            return Ok(received);
        };
        print!("{text}");
        stdout()
            .flush()
            .wrap_err_with(|| "cannot write the text to stdout")?;
        received.push_str(&text);
    }
}

async fn print_answer(
    client: &StandinClient,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String> {
    let answer = client.call(method, path, body).await;
    let answer = answer.wrap_err_with(|| format!("cannot complete the request to {path}"))?;
    println!("{}", answer.text());
    let answer = answer
        .checked()
        .wrap_err_with(|| format!("the request to {path} did not succeed"))?;
    Ok(whole_text(&answer.body).unwrap_or_default())
}
