package granter

import "time"

//go:generate go tool msgp -tests=false -marshal=false -o messages_gen.go

//msgp:tuple TakeArgs TakeReply ReleaseArgs ReleaseReply

// TakeArgs asks the owner of an account for tokens, as rationer.Ask describes.
type TakeArgs struct {
	// Node is the name of the asking node.
	Node     string
	Account  string
	Need     int
	Expect   int
	Returned int
}

// TakeReply is the reply of an owner, as rationer.Grant describes.
type TakeReply struct {
	// NotOwner means that the node grants no tokens of the account now: it is stopping, or the account
	// has no quota in the version in force there.
	NotOwner bool
	Tokens   int
	Wait     time.Duration
	Fallback float64
	Over     bool
}

// ReleaseArgs asks a node to admit no calls of an account without contact to its owner.
type ReleaseArgs struct{ Account string }

// ReleaseReply states that the node does so.
type ReleaseReply struct{}
