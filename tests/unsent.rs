//! Requests that an HTTP client reports as unsent, against a server that closes connections while requests are on their way.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        Shutdown,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use poplarknot::http::{
    build_json_request,
    Connection,
    Failure, //
};
use rand::{
    rngs::SmallRng,
    Rng as _,
    SeedableRng as _, //
};

/// The number of connections whose second request meets the close.
const ROUNDS: u64 = 3_000;

/// How the server ends a connection after its first answer.
#[derive(Debug, Clone, Copy)]
enum End {
    Close,
    ShutDown,
}

/// Reads a request with a body of two bytes, and appends what was read to `received`.
fn read_request(stream: &mut TcpStream, received: &Mutex<Vec<u8>>) -> bool {
    let mut buffer = [0; 1_024];
    let mut request = Vec::new();
    while !request.ends_with(b"{}") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => request.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    received.lock().unwrap().extend_from_slice(&request);
    request.ends_with(b"{}")
}

/// Answers the first request of a connection, and ends the connection `delay` later.
fn serve(mut stream: TcpStream, received: &Mutex<Vec<u8>>, end: End, delay: Duration) {
    if !read_request(&mut stream, received) {
        return;
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    stream.write_all(answer).unwrap();
    let until = std::time::Instant::now() + delay;
    while std::time::Instant::now() < until {
        std::hint::spin_loop();
    }
    match end {
        End::Close => {
            // What arrived before the close counts as received.
            stream.set_nonblocking(true).unwrap();
            read_request(&mut stream, received);
        }
        End::ShutDown => {
            stream.shutdown(Shutdown::Write).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_millis(100)))
                .unwrap();
            read_request(&mut stream, received);
        }
    }
}

/// A request must not be reported as unsent if its server got any of it: the start in it would be taken for one that nobody carries out.
#[test]
fn request_that_reached_its_server_is_not_reported_as_unsent() {
    let mut random = SmallRng::seed_from_u64(1);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (mut unsent, mut broken, mut answered) = (0, 0, 0);
    for round in 0..ROUNDS {
        let received = Arc::new(Mutex::new(Vec::new()));
        let end = match round % 2 {
            0 => End::Close,
            _ => End::ShutDown,
        };
        let delay = Duration::from_micros(random.random_range(0..200));
        let pause = Duration::from_micros(random.random_range(0..200));
        let (l, r) = (listener.try_clone().unwrap(), received.clone());
        let server = std::thread::spawn(move || {
            let (stream, _) = l.accept().unwrap();
            serve(stream, &r, end, delay);
        });
        let build = |path: &str| {
            build_json_request(Method::POST, &address, path, Bytes::from_static(b"{}"))
        };
        let result = runtime.block_on(async {
            let mut connection = Connection::open(&address).await.unwrap();
            connection.send(build("/first")).await.unwrap();
            // Keeps the runtime from reading the close before the request is sent.
            let until = std::time::Instant::now() + pause;
            while std::time::Instant::now() < until {
                std::hint::spin_loop();
            }
            let second = connection.send(build("/second"));
            tokio::time::timeout(Duration::from_secs(2), second).await
        });
        server.join().unwrap();
        let received = received.lock().unwrap();
        let received = String::from_utf8_lossy(&received);
        match result {
            Ok(Ok(_)) => answered += 1,
            Ok(Err(Failure::Unsent(_))) => {
                unsent += 1;
                assert!(!received.contains("/second"), "round {round}, {end:?}");
            }
            Ok(Err(Failure::Broken(_))) | Err(_) => broken += 1,
        }
    }
    println!("{unsent} unsent, {broken} broken, {answered} answered");
    assert!(unsent > 0 && broken > 0, "{unsent} unsent, {broken} broken");
}
