package burdockqueue_test

import (
	"fmt"
	"math/rand/v2"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
)

func Example() {
	q := burdockqueue.New(burdockqueue.Config{
		Slots:     1,
		MaxQueued: 8,
		Classes:   []burdockqueue.ClassConfig{{Name: "urgent"}, {Name: "letters", MaxWait: burdockclock.Minute}},
	}, rand.New(rand.NewPCG(1, 1)))

	fmt.Printf("%T\n", q.Offer(0, burdockqueue.Request{ID: "draft", Customer: "acme", Class: 1, Cost: 900}))
	fmt.Printf("%T\n", q.Offer(5, burdockqueue.Request{ID: "letter", Customer: "acme", Class: 1, Cost: 900}))
	fmt.Printf("%T\n", q.Offer(9, burdockqueue.Request{ID: "payout", Customer: "bela", Class: 0, Cost: 40}))
	fmt.Println(q.Dispatch(9))

	q.Finish(2000, "draft", 870)
	fmt.Println(q.Dispatch(2000))
	// Output:
	// burdockqueue.Start
	// burdockqueue.Wait
	// burdockqueue.Wait
	// []
	// [{payout}]
}
