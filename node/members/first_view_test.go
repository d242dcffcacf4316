package members_test

import (
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/membership"
	"github.com/gullhaven/gullhaven/node/members"
)

// Guards against callers that read a view, or its first relay, before there is one.
func TestFirstViewHasThisInstanceAsItsRelay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	hub, err := link.New(link.Options{PlaintextID: "a", Address: func(string) (string, bool) { return "", false }, Rand: rng})
	if err != nil {
		t.Fatal(err)
	}
	defer hub.Close()
	s, err := members.New(members.Options{Self: membership.Member{ID: "a", Region: "r", Zone: "z"}, Hub: hub, Rand: rng, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	if v := s.View(); v == nil || v.Relays != [2]string{"a"} {
		t.Fatalf("%+v", v)
	}
}
