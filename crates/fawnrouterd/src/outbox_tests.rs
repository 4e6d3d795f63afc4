use super::*;
use futures_lite::future;

#[test]
fn a_backlog_beyond_the_limit_ends_the_connection_and_frees_its_memory() {
    let outbox = Outbox::new(10);
    outbox.push(|b| b.extend([0; 10]));
    assert_eq!(outbox.backlog(), 10);
    outbox.push(|b| b.push(1));
    assert_eq!(outbox.backlog(), 0);
    future::block_on(outbox.aborted());
    outbox.push(|b| b.push(1));
    assert_eq!(outbox.backlog(), 0, "a dead connection takes nothing");
}

/// What is still to be written.
fn rest(outbox: &Outbox) -> Vec<u8> {
    [&outbox.writing.borrow()[outbox.write_offset.get()..], &outbox.queued.borrow()[..]].concat()
}

#[test]
fn a_part_is_taken_back_whole_while_not_a_byte_of_it_is_written_and_the_others_stay() {
    let outbox = Outbox::new(100);
    outbox.push_marked(1, b"one,");
    outbox.push(|b| b.extend(b"said,"));
    outbox.push_marked(2, b"two,");
    // The writer has them, and has written the first byte.
    std::mem::swap(&mut *outbox.queued.borrow_mut(), &mut *outbox.writing.borrow_mut());
    outbox.write_offset.set(1);
    outbox.total_written.set(1);
    outbox.push_marked(3, b"three,");
    outbox.push_marked(4, b"four,");
    outbox.push(|b| b.extend(b"end"));
    assert!(!outbox.remove_unwritten(1), "its first byte is written");
    assert!(outbox.remove_unwritten(3) && !outbox.remove_unwritten(3));
    assert_eq!(rest(&outbox), b"ne,said,two,four,end");
    assert!(outbox.remove_unwritten(2));
    assert_eq!(rest(&outbox), b"ne,said,four,end");
    outbox.push_marked(2, b"again,");
    assert_eq!(outbox.remove_all_unwritten(), [4, 2]);
    assert_eq!((rest(&outbox).as_slice(), outbox.backlog()), (&b"ne,said,end"[..], 11));
}

#[test]
fn a_writer_whose_every_byte_was_taken_back_goes_on_with_what_comes_next() {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    // The peer does not read: the sockets take no more.
    let mut filled = 0;
    while let Ok(n) = stream.get_ref().write(&[b'x'; 65_536]) {
        filled += n;
    }
    let outbox = Outbox::new(100);
    outbox.push_marked(7, b"never");
    let mut writing = Box::pin(outbox.write_to(&stream));
    assert!(future::block_on(future::poll_once(&mut writing)).is_none(), "held up");
    assert!(outbox.remove_unwritten(7));
    outbox.push(|b| b.extend(b"last"));
    outbox.finish();
    let reading = std::thread::spawn(move || {
        let mut all = vec![0; filled + 4];
        peer.read_exact(&mut all).map(|()| all)
    });
    future::block_on(writing).unwrap();
    drop(stream);
    assert!(reading.join().unwrap().unwrap().ends_with(b"xlast"));
}
