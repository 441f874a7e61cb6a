package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/golden"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// storedRequest is a request whose run right is in the stored data. It expires some hours after
	// the start of a bubble's clock.
	storedRequest = caller.RequestID("stored.946720800")
	// storedChanges is the number of changes before the snapshot, and of those after it.
	storedChanges = 2
	// fillers is a number of log entries of fillerCommands without effect that make replicas take a
	// snapshot, and are small enough that little is stored after it.
	fillers        = 176
	fillerCommands = 400
)

// storedChange is one of the changes of the tables in the stored data.
func storedChange(number int) *operator.Change {
	return &operator.Change{ID: fmt.Sprint("change-", number), Base: uint64(number - 1), Tables: operator.Tables{
		Pools:  []operator.Pool{{Name: fmt.Sprint("pool-", number), Slots: number, Connections: number}},
		Routes: []operator.Route{{Kind: "k", Pool: fmt.Sprint("pool-", number)}},
	}}
}

// runStored runs a control group on the data folders below a folder.
func runStored(t *testing.T, folder string, body func(ctx context.Context, client *Client, propose func(command []byte) error)) {
	network, addresses := &standin.Network{}, []string{"10.0.0.1:90", "10.0.0.2:90", "10.0.0.3:90"}
	client := NewClient(addresses, network.Dialer("10.9.0.1"))
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var replicas []*replica.Replica
	for number, address := range addresses {
		state, server := &State{}, &frame.Server{}
		started := replica.New(replica.Options{
			Name: fmt.Sprint("control-", number), Address: address, Peers: addresses, Dial: network.Dialer(fmt.Sprintf("10.0.0.%d", number+1)),
			Folder: filepath.Join(folder, fmt.Sprint("control-", number)),
		}, state)
		service := NewService(started, state)
		service.Register(server)
		started.Register(server)
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		go service.Run(ctx)
		if err := started.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = started.Stop(context.Background()) }()
		replicas = append(replicas, started)
	}
	body(ctx, client, func(command []byte) error {
		for _, candidate := range replicas {
			if _, leading := candidate.Term(); leading {
				_, err := candidate.Propose(ctx, command)
				return err
			}
		}
		return fmt.Errorf("no replica leads")
	})
}

// writeStored makes data folders with changes of the tables, a run right, a snapshot and entries after it.
func writeStored(t *testing.T, folder string) {
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		runStored(t, folder, func(ctx context.Context, client *Client, propose func(command []byte) error) {
			time.Sleep(5 * time.Second)
			for number := 1; number <= storedChanges; number++ {
				_, err := client.Change(ctx, storedChange(number))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
			}
			grant, err := encodeCommands([]command{grantRun{Request: GrantRequest{RequestID: storedRequest, Nonce: 7}, Now: time.Now()}})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(propose(grant)).To(gomega.Succeed())
			commands := make([]command, fillerCommands)
			for index := range commands {
				commands[index] = beginTenure{}
			}
			filler, err := encodeCommands(commands)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			for range fillers {
				expect.Expect(propose(filler)).To(gomega.Succeed())
			}
			time.Sleep(5 * time.Second)
			for number := storedChanges + 1; number <= 2*storedChanges; number++ {
				_, err := client.Change(ctx, storedChange(number))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
			}
			time.Sleep(time.Second)
		})
	})
}

// TestDataOf96531af opens the data folders of a control group of 96531af. It guards against a build that
// can't read what an earlier one has acknowledged: the versions of the tables before and after a
// snapshot, the changes by which one that is sent again is recognized, and the run rights.
func TestDataOf96531af(t *testing.T) {
	const stored = "testdata/stored/96531af"
	if golden.Writing() {
		writeStored(t, stored)
		return
	}
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(stored)); err != nil {
		t.Fatal(err)
	}
	bubble.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t)
		runStored(t, folder, func(ctx context.Context, client *Client, _ func([]byte) error) {
			time.Sleep(5 * time.Second)
			for number := 1; number <= 2*storedChanges; number++ {
				expected := storedChange(number)
				read, err := client.Tables(ctx, uint64(number))
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(read.ChangeID).To(gomega.Equal(expected.ID))
				expect.Expect(read.Tables).To(gomega.Equal(expected.Tables))
				resent, err := client.Change(ctx, expected)
				expect.Expect(err).NotTo(gomega.HaveOccurred())
				expect.Expect(resent.Version).To(gomega.Equal(uint64(number)))
			}
			granted, err := client.Grant(ctx, &GrantRequest{RequestID: storedRequest, Nonce: 8})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(*granted).To(gomega.Equal(Grant{Outcome: caller.MayHaveRun}))
			added, err := client.Change(ctx, storedChange(2*storedChanges+1))
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(added.Version).To(gomega.Equal(uint64(2*storedChanges + 1)))
		})
	})
}
