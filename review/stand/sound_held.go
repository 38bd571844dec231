//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["sound-held"] = soundHeld }

// soundAttempt is an attempt of a sound request.
type soundAttempt struct {
	id     string
	at     time.Time
	answer answer
}

// soundHeld sends requests with a part that crashes engines beside sound ones of the same
// caller and route. Many users ask the same question, so that the sound requests are alike.
func soundHeld(w *world) bool {
	const controls, routers, servers = 3, 2, 3
	questions := 1
	if v, err := strconv.Atoi(os.Getenv("QUESTIONS")); err == nil {
		questions = v
	}
	w.startFleet(controls, routers)
	chat := route("chat", "streaming", "llm", 4*time.Second, 1)
	chat["sticky"] = true
	w.put(controls, desiredState(1, noLimit, []map[string]any{chat}, []map[string]any{modelService("llm")}))
	for range servers {
		w.startEngine("llm", controls, "-model", "-crash-part", crashPart)
	}
	w.waitReady(routers)
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var background sync.WaitGroup
	var mu sync.Mutex
	var sound []soundAttempt
	background.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			background.Go(func() {
				question := n % questions
				s := soundAttempt{id: newAttemptID(), at: time.Now()}
				s.answer = w.askAs(s.id, n, routers, "91bd3f06", question)
				mu.Lock()
				sound = append(sound, s)
				mu.Unlock()
			})
		}
	})
	time.Sleep(10 * time.Second)
	part := crashPart
	if !w.trouble {
		part = "e4402b7e"
	}
	w.record("requests with the part %s begin to come", part)
	for n := range 24 {
		a := w.ask(n, routers, part, 10_000+n)
		w.record("request %d with the part %s at front-%d: %v", n+1, part, n%routers+1, a)
		time.Sleep(1500 * time.Millisecond)
	}
	ended := time.Now()
	w.record("no more requests with the part come")
	close(stop)
	background.Wait()
	return w.judgeSound(sound, ended)
}

// judgeSound applies the rule: from 2 x contact-ms after the fifth crash, or the last, sound
// requests of the route begin at least half as often as before.
func (w *world) judgeSound(sound []soundAttempt, ended time.Time) bool {
	var crashes []time.Time
	began := map[string]bool{}
	for _, r := range w.runs() {
		if r.What == noteCrash {
			at := time.UnixMilli(r.At)
			crashes = append(crashes, at)
			w.record("server %s crashed on the part, request %s, at %.3f s", r.Engine, r.ID, at.Sub(w.started).Seconds())
			continue
		}
		began[r.ID] = true
	}
	first, from := ended, w.started
	if len(crashes) > 0 {
		first = crashes[0]
		from = crashes[min(len(crashes), 5)-1].Add(2 * contact)
	}
	var before, beganBefore, after, beganAfter int
	statuses := map[string]int{}
	for _, s := range sound {
		switch {
		case s.at.Before(first.Add(-time.Second)) && s.at.After(w.started):
			before++
			if began[s.id] {
				beganBefore++
			}
		case len(crashes) > 0 && s.at.After(from) && s.at.Before(ended):
			after++
			statuses[fmt.Sprint(s.answer.status)]++
			if began[s.id] {
				beganAfter++
			}
		}
	}
	w.record("%d crashes; sound requests before: %d of %d began at the first attempt; later than 2 x contact-ms after the fifth or last crash: %d of %d, by status %v",
		len(crashes), beganBefore, before, beganAfter, after, statuses)
	if before < 20 || after < 20 {
		return false
	}
	return float64(beganAfter)/float64(after) < float64(beganBefore)/float64(before)/2
}
