package member

import (
	"testing"
	"time"
)

// Probing and answers to targets together keep within the budget.
func TestPaceLeavesRoomForAnswers(t *testing.T) {
	const budgetRate, probeBytes, answerRate = 4096, 400, 1700
	p := newPace(budgetRate)
	for range 100 {
		p.take(answerRate, time.Second)
		p.sent(probeBytes)
		p.probed()
	}
	probing := probeBytes / p.interval().Seconds()
	if probing+answerRate > budgetRate {
		t.Fatalf("probing takes %.0f B/s beside %d B/s of answers, over %d", probing, answerRate, budgetRate)
	}
	for range 100 {
		p.take(100*budgetRate, time.Second)
	}
	if p.interval() > maxProbeInterval || p.rate() <= 0 {
		t.Fatalf("answers stop probing: interval %v", p.interval())
	}
}
