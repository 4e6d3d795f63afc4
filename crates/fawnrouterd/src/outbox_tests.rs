use super::*;
use futures_lite::future;

#[test]
fn backlog_beyond_the_limit_aborts_the_connection_and_frees_its_memory() {
    let outbox = Outbox::new(10);
    outbox.push(|b| b.extend([0; 10]));
    assert_eq!(outbox.backlog(), 10);
    outbox.push(|b| b.push(1));
    assert_eq!(outbox.backlog(), 0);
    future::block_on(outbox.aborted());
    outbox.push(|b| b.push(1));
    assert_eq!(outbox.backlog(), 0, "an aborted connection accepts nothing");
}

/// The bytes not yet written.
fn unwritten(outbox: &Outbox) -> Vec<u8> {
    [&outbox.writing.borrow()[outbox.write_offset.get()..], &outbox.queued.borrow()[..]].concat()
}

#[test]
fn marked_part_is_removed_only_while_none_of_its_bytes_is_written() {
    let outbox = Outbox::new(100);
    outbox.push_marked(1, b"one,");
    outbox.push(|b| b.extend(b"said,"));
    outbox.push_marked(2, b"two,");
    // The writer has taken all three parts and written the first byte.
    std::mem::swap(&mut *outbox.queued.borrow_mut(), &mut *outbox.writing.borrow_mut());
    outbox.write_offset.set(1);
    outbox.total_written.set(1);
    outbox.push_marked(3, b"three,");
    outbox.push_marked(4, b"four,");
    outbox.push(|b| b.extend(b"end"));
    assert!(!outbox.remove_unwritten(1), "its first byte is written");
    assert!(outbox.remove_unwritten(3) && !outbox.remove_unwritten(3));
    assert_eq!(unwritten(&outbox), b"ne,said,two,four,end");
    assert!(outbox.remove_unwritten(2));
    assert_eq!(unwritten(&outbox), b"ne,said,four,end");
    outbox.push_marked(2, b"again,");
    assert_eq!(outbox.remove_all_unwritten(), [4, 2]);
    assert_eq!((unwritten(&outbox).as_slice(), outbox.backlog()), (&b"ne,said,end"[..], 11));
}

#[test]
fn writer_continues_after_all_its_bytes_were_removed() {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    // The peer does not read; this fills the socket buffers.
    let mut filled = 0;
    while let Ok(n) = stream.get_ref().write(&[b'x'; 65_536]) {
        filled += n;
    }
    let outbox = Outbox::new(100);
    outbox.push_marked(7, b"never");
    let mut writing = Box::pin(outbox.write_to(&stream));
    assert!(future::block_on(future::poll_once(&mut writing)).is_none(), "the write blocks");
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

/// Guards against a gateway that is killed for memory because hundreds of connections keep the buffers of a burst.
#[test]
fn memory_of_a_burst_is_released_once_it_is_written() {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let outbox = Outbox::new(64 * 1024);
    for _ in 0..2 {
        outbox.push(|b| b.extend([b'x'; 48 * 1024]));
        let read = std::thread::scope(|scope| {
            let reader = scope.spawn(|| peer.read_exact(&mut [0; 48 * 1024]));
            future::block_on(future::or(async { outbox.write_to(&stream).await.is_ok() }, async {
                while outbox.backlog() > 0 {
                    future::yield_now().await;
                }
                true
            }));
            reader.join().unwrap()
        });
        read.unwrap();
    }
    let mut writing = Box::pin(outbox.write_to(&stream));
    assert!(future::block_on(future::poll_once(&mut writing)).is_none(), "nothing is left to write");
    let capacity = outbox.queued.borrow().capacity() + outbox.writing.borrow().capacity();
    // 1,024 descriptors make 640 connections at most, and the smallest limit of the platform is 32 MB.
    assert!(capacity <= 8 * 1024, "{capacity} bytes are kept");
}

/// Guards against a gateway that is killed for memory because hundreds of clients ask and do not read: the budget
/// bounds them together, not only each of them.
#[test]
fn peers_that_do_not_read_share_one_budget_and_a_reading_one_goes_on() {
    use crate::buffer_share::new_buffer_budget;
    use fawnrouter_admission::{BufferLimits, BufferOwner};
    let limits = BufferLimits { total: 1 << 20, max_per_connection: 64 * 1024, min_per_connection: 1024 };
    let budget = new_buffer_budget(limits);
    let outbox = || {
        Outbox::with_budget_share(
            limits.max_per_connection,
            BufferShare::of_budget(&budget, BufferOwner::Client),
        )
    };
    let outboxes: Vec<Outbox> = (0..300).map(|_| outbox()).collect();
    for _ in 0..2000 {
        outboxes.iter().for_each(|outbox| outbox.push(|b| b.extend([b'x'; 52])));
        let held: usize = outboxes.iter().map(Outbox::backlog).sum();
        assert!(held <= limits.total + outboxes.len() * limits.min_per_connection, "{held} bytes");
    }
    let reading = outbox();
    reading.push(|b| b.extend([b'x'; 1000]));
    assert!(reading.is_open());
}
