//! Frames between processes, whole, cut and spoilt.

use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::Micros;
use gaugestand_node::handover_link::{Frame, frame};

// Guards against a half written or spoilt frame that is taken for another one, or ends the process.
#[test]
fn a_frame_is_read_whole_or_not_at_all() {
    let said = Frame::Called(RequestId(7), CallOutcome::Succeeded, Some(vec![0, 255]), Micros(9));
    let mut bytes = vec![0; 4];
    ciborium::into_writer(&said, &mut bytes).expect("written");
    let len = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&len.to_be_bytes());
    for cut in 0..bytes.len() {
        assert!(matches!(frame(&bytes[..cut]), Ok(None)), "cut at {cut}");
    }
    let again = frame(&[&bytes[..], b"next"].concat());
    let Ok(Some((n, Frame::Called(id, CallOutcome::Succeeded, Some(reply), lag)))) = again else {
        panic!("{again:?}")
    };
    assert_eq!((n, id, reply, lag), (bytes.len(), RequestId(7), vec![0, 255], Micros(9)));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut spoilt = bytes.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..spoilt.len());
            spoilt[at] = rng.u8(..);
        }
        // Whatever it says, no more than one frame is taken, and nothing panics.
        if let Ok(Some((n, _))) = frame(&spoilt) {
            assert!(n <= spoilt.len());
        }
    }
    assert!(frame(&[255, 255, 255, 255, 0]).is_err());
}
