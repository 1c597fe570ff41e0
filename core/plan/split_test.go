package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against shares over all nodes that miss the weights by more than 0.1 when each node serves only a few of the
// requests. Load: 300 requests over 1 to 300 nodes, evenly or most of them at one node.
func TestSharesOverManyNodes(t *testing.T) {
	const requests = 300
	random := rand.New(rand.NewPCG(1, 2))
	for _, weights := range [][]uint32{{90, 10}, {50, 50}, {1, 1, 1}, {70, 20, 10}, {99, 1}, {3, 0, 1}, {900_000, 100_000}, {997, 613, 1}} {
		route := &pb.PlanRoute{Host: "h", PathPrefix: "/"}
		total := 0.0
		for i, w := range weights {
			route.Targets = append(route.Targets, &pb.PlanTarget{Service: fmt.Sprint(i), Weight: w})
			total += float64(w)
		}
		for i := range 400 { // 40 plays of each number of nodes, evenly and with most requests at one node
			nodes, uneven := []int{1, 12, 62, 150, 300}[i%10/2], i%2 == 1
			splitters := make([]*Splitter, nodes)
			for i := range splitters {
				splitters[i] = NewSplitter()
			}
			counts := make(map[string]int)
			for n := range requests {
				node := n % nodes
				if uneven && random.Float64() < 0.7 {
					node = 0
				}
				counts[splitters[node].Pick(route, random.Float64())]++
			}
			for _, target := range route.GetTargets() {
				if miss := math.Abs(float64(counts[target.GetService()])/requests - float64(target.GetWeight())/total); miss > 0.1 {
					t.Errorf("weights %v, %d nodes, uneven %v: a share misses its weight by %.3f", weights, nodes, uneven, miss)
				}
			}
		}
	}
}
