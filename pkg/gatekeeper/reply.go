package gatekeeper

import "github.com/bilberrywalk/bilberrywalk/pkg/framer"

func send(peer string, frame framer.Frame) Action {
	return Action{
		Send: &Send{
			Peer:  peer,
			Frame: frame,
		},
	}
}

func refused(s framer.Start, reason framer.Reason) framer.Frame {
	return framer.Frame{
		Refused: &framer.Refused{
			ID:      s.ID,
			Attempt: s.Attempt,
			Reason:  reason,
		},
	}
}

func failed(rec *record) framer.Frame {
	return framer.Frame{
		Failed: &framer.Failed{
			ID:      rec.start.ID,
			Attempt: rec.start.Attempt,
			Reason:  rec.reason,
		},
	}
}

func fenced(f framer.Fence, s framer.FenceState) framer.Frame {
	return framer.Frame{
		Fenced: &framer.Fenced{
			ID:      f.ID,
			Attempt: f.Attempt,
			State:   s,
		},
	}
}

// answerParts splits a retained response into frames of at most
// maxAnswerPartBytes each.
func answerParts(rec *record) []Action {
	body := rec.answer.Body
	var actions []Action
	for part := 0; ; part++ {
		n := min(len(body), maxAnswerPartBytes)
		frame := framer.Answer{
			ID:      rec.start.ID,
			Attempt: rec.start.Attempt,
			Part:    part,
			Last:    n == len(body),
			Body:    body[:n],
		}
		if part == 0 {
			frame.Status = rec.answer.Status
			frame.ContentType = rec.answer.ContentType
		}
		actions = append(actions, send(rec.peer, framer.Frame{Answer: &frame}))
		body = body[n:]
		if frame.Last {
			return actions
		}
	}
}
