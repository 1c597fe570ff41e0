package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/state"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// processVariable is the environment variable that holds the options of a control
// host when this test binary is started as one.
const processVariable = "RATTANFIELD_TEST_CONTROL_HOST"

func TestMain(m *testing.M) {
	if v := os.Getenv(processVariable); v != "" {
		if err := runProcess(v); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func runProcess(encoded string) error {
	var o Options
	if err := json.Unmarshal([]byte(encoded), &o); err != nil {
		return err
	}
	l, err := lifecycle.Listen(memberOf(o.Members, o.ID).GetAddress())
	if err != nil {
		return err
	}
	h, err := New(o, rpc.NewClient(rpc.Options{}), log.NewNopLogger())
	if err != nil {
		return err
	}
	go func() { _ = rpc.NewServer(h.Handlers()...).Serve(l) }()
	return h.Run(context.Background())
}

type processes struct {
	c       *cluster
	client  *rpc.Client
	mu      sync.Mutex
	running map[string]*exec.Cmd
}

func (p *processes) start(id string) {
	o := Options{
		ID: id, Members: p.c.members, DataDir: filepath.Join(p.c.dir, id), ElectionTimeout: 300 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond, SnapshotEntries: 20, KeepEntries: 5,
	}
	encoded, err := json.Marshal(o)
	if err != nil {
		p.c.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run=none")
	cmd.Env = append(os.Environ(), processVariable+"="+string(encoded))
	cmd.Stderr = os.Stderr
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id] != nil {
		return
	}
	if err := cmd.Start(); err != nil {
		p.c.t.Fatal(err)
	}
	p.running[id] = cmd
}

func (p *processes) kill(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.running[id]; cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(p.running, id)
	}
}

func (p *processes) operator(i int) rattanfieldv1connect.OperatorServiceClient {
	return rattanfieldv1connect.NewOperatorServiceClient(p.client.HTTP(), rpc.URL(p.c.members[i%len(p.c.members)].GetAddress()))
}

// Guards against accepted commands that are lost, repeated or reordered, and
// against wrong outcomes, when processes are killed at any moment, several in a
// row and sometimes all at once.
func TestKilledProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := &processes{c: newCluster(t, "kingston", "kingston", "montego-bay"), client: rpc.NewClient(rpc.Options{}), running: make(map[string]*exec.Cmd)}
	for _, m := range p.c.members {
		p.start(m.GetId())
		t.Cleanup(func() { p.kill(m.GetId()) })
	}
	random := rand.New(rand.NewPCG(1, 2))
	killed := make(chan struct{})
	revision := uint64(state.InitialRevision)
	for i := range 120 {
		id := fmt.Sprint("c", i)
		if i%12 == 5 {
			victim := p.c.members[random.IntN(3)].GetId()
			time.AfterFunc(time.Duration(random.IntN(20))*time.Millisecond, func() {
				p.kill(victim)
				killed <- struct{}{}
			})
		}
		if i%12 == 11 {
			// If the kill came after this restart, its host would still be down in the next
			// round, and killing another one would leave no majority.
			<-killed
			for _, m := range p.c.members {
				if i%48 == 47 { // power loss of all hosts
					p.kill(m.GetId())
				}
			}
			for _, m := range p.c.members {
				p.start(m.GetId())
			}
		}
		var r *pb.CommandResult
		for attempt := 0; r.GetOutcome() != accepted; attempt++ {
			is.True(attempt < 400)
			resp, err := p.operator(random.IntN(3)).Submit(background, connect.NewRequest(&pb.SubmitRequest{
				Command: putService(id, revision, fmt.Sprint("s", i%10), id),
			}))
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			r = resp.Msg.GetResult()
			is.True(r.GetOutcome() != conflict && r.GetOutcome() != pb.Outcome_OUTCOME_INVALID) // nobody else submits
		}
		is.Equal(r.GetRevision(), revision+1)
		revision++
	}
}
