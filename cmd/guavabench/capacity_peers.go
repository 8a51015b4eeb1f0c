package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"guavascale.example"
	"guavascale.example/guavapeer"
)

// gossipPeer simulates the gossip of another daemon. It announces one shard of
// 64 workers, whose free capacity changes every second. The free capacity is too
// small for any task, so the measured daemon hands no work over.
type gossipPeer struct {
	countedListener
	members guavapeer.Members
	client  guavapeer.Client
	server  guavapeer.Server
	summary guavascale.Summary
}

func (p *gossipPeer) Config() *guavascale.Config { return nil }

func (p *gossipPeer) HandlePeerUpdate(guavapeer.PeerUpdate) {}

func (p *gossipPeer) Work(context.Context) (guavascale.Work, error) { return guavascale.Work{}, nil }

func (p *gossipPeer) Claims() guavapeer.ClaimOwner { return nil }

func (s *testbed) addPeers(ctx context.Context, n int) error {
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p := &gossipPeer{}
		p.Listener = ln
		name := "peer-" + strconv.Itoa(i)
		p.summary = guavascale.Summary{
			Daemon: name, Instance: name + "-20260101T000000.000000000", Zone: peerZone,
			PeerAddress: ln.Addr().String(), GatewayAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:1",
			Partitions: []guavascale.PartitionSummary{peerShardSummary(i)},
		}
		p.members.SetSelf(time.Now(), p.summary)
		p.server.Members, p.server.Local, p.server.Clock = &p.members, p, guavascale.WallClock{}
		go func() { _ = p.server.Serve(p) }()
		s.peers = append(s.peers, p)
		go p.gossip(ctx, s.peers[0].summary.PeerAddress)
	}
	return nil
}

func (p *gossipPeer) gossip(ctx context.Context, seed string) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	time.Sleep(rand.N(time.Second))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.summary.Partitions[0].Free.MilliCores = rng.Int64N(batchMilliCores)
		p.members.SetSelf(time.Now(), p.summary)
		targets := p.members.Targets(time.Now(), rng)
		if len(targets) == 0 && seed != p.summary.PeerAddress {
			targets = append(targets, seed)
		}
		for _, addr := range targets {
			// After a failure the next exchange, with another peer, follows in a
			// second.
			_, _ = p.client.Exchange(ctx, addr, &p.members, guavascale.WallClock{})
		}
		<-ticker.C
	}
}

func peerShardSummary(n int) guavascale.PartitionSummary {
	size := guavascale.Resources{MilliCores: 2_048_000, MemoryMB: 8_000_000, Accelerators: 64}
	p := guavascale.PartitionSummary{
		Partition: guavascale.Partition("Shard-Brest-" + strconv.Itoa(n)), Epoch: 1, Zone: peerZone,
		Capacity: size, TeamUse: make(map[string]guavascale.Resources),
	}
	for t := range 10 {
		p.TeamUse["team-"+strconv.Itoa(t)] = size
	}
	for e := range 50 {
		p.Endpoints = append(p.Endpoints, guavascale.Endpoint{
			Service: "licence-check", Task: guavascale.TaskID(fmt.Sprintf("licence-check/%s/%d", p.Partition, e)),
			Worker: guavascale.WorkerID(fmt.Sprintf("Brest-%d-%d", n, e)), Zone: peerZone, Address: "10.0.12.34:31234",
			Slots: 8, Connections: 60,
		})
	}
	return p
}
