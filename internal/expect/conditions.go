package expect

import (
	"fmt"
	"math"

	"dunereach/emulator/cluster"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/common/ast"
	"github.com/google/cel-go/common/operators"
)

// program is a compiled condition. The zero value is always true.
type program struct{ cel.Program }

// matches evaluates the condition on the values of the variables.
func (p program) matches(values map[string]any) (bool, error) {
	if p.Program == nil {
		return true, nil
	}
	v, _, err := p.Eval(values)
	if err != nil {
		return false, fmt.Errorf("the condition can't be evaluated: %v", err)
	}
	return v.Value().(bool), nil
}

// celVariables are the variables that conditions may use.
var celVariables = map[string]*cel.Type{
	"now": cel.DoubleType, "router": cel.IntType,
	"traffic": cel.StringType, "profile": cel.StringType, "tenant": cel.StringType, "team": cel.StringType,
	"engine": cel.StringType, "kind": cel.StringType, "zone": cel.StringType, "cell": cel.IntType,
	"told": cel.StringType, "told_for": cel.DoubleType, "age": cel.DoubleType, "state": cel.StringType,
	"number": cel.IntType, "out": cel.IntType, "queries": cel.IntType, "level": cel.IntType, "ended": cel.StringType,
	"how": cel.StringType, "further": cel.IntType, "taken": cel.IntType, "key": cel.IntType, "key_open": cel.BoolType,
	"waited": cel.DoubleType, "took": cel.DoubleType, "target": cel.DoubleType, "in_time": cel.BoolType,
	"deadline": cel.DoubleType, "work": cel.DoubleType, "estimate": cel.DoubleType, "tries": cel.IntType,
	"last_end": cel.StringType, "first_zone": cel.StringType, "since_first": cel.DoubleType, "cores": cel.DoubleType,
	"recent": cel.DoubleType, "fall_multiple": cel.DoubleType, "warm_up": cel.DoubleType, "cold_from": cel.DoubleType,
	"pause": cel.DoubleType, "was_sent": cel.BoolType, "rev": cel.IntType, "ready": cel.IntType,
	// Constants of the configuration under test.
	"grace": cel.DoubleType, "longest_pause": cel.DoubleType, "sends_most": cel.IntType, "further_free": cel.DoubleType,
	"further_share": cel.DoubleType, "key_rest": cel.DoubleType, "routers": cel.IntType, "priorities": cel.BoolType,
}

// newCELEnvironment declares the variables of conditions.
func newCELEnvironment() (*cel.Env, error) {
	var options []cel.EnvOption
	for _, name := range sorted(celVariables) {
		options = append(options, cel.Variable(name, celVariables[name]))
	}
	return cel.NewEnv(options...)
}

// values returns the variables of conditions: constants with their values, all others with the zero value of their
// type.
func (w *simulation) values() map[string]any {
	b := &w.settings.Admission
	v := map[string]any{"grace": w.drainGrace, "longest_pause": b.MaxPause, "key_rest": b.KeyRest, "fall_multiple": b.FallMultiple, "warm_up": b.WarmUp,
		"cold_from": b.ColdFrom, "sends_most": int64(b.MaxSends),
		"further_free": b.BudgetFree, "further_share": b.BudgetShare, "routers": int64(w.setup.Routers), "priorities": b.Priorities}
	for name, t := range celVariables {
		if _, set := v[name]; set {
			continue
		}
		switch t {
		case cel.DoubleType:
			v[name] = 0.0
		case cel.IntType:
			v[name] = int64(0)
		case cel.StringType:
			v[name] = ""
		case cel.BoolType:
			v[name] = false
		}
	}
	return v
}

// setValues sets the variables to the state at an event.
func (w *simulation) setValues(v map[string]any, m *cluster.Observation) {
	v["now"], v["router"], v["rev"], v["ready"] = m.Now, int64(m.Router), int64(m.ListRevision), int64(m.ReadyListed)
	v["engine"], v["kind"], v["zone"], v["cell"] = "", "", "", int64(0)
	v["told"], v["state"] = "", ""
	if m.Server >= 0 {
		e := &w.setup.Servers[m.Server]
		v["engine"], v["kind"], v["zone"], v["cell"] = e.Name, w.settings.Kinds[e.Kind], w.settings.Zones[e.Zone], int64(e.Cell)
		v["told"], v["state"] = stateName(m.ListedState), stateName(m.ActualState)
	}
	v["told_for"], v["age"] = m.ListedStateAge, m.ServerAge
	if m.ServerAge < 0 {
		v["age"] = math.Inf(1) // the server started long ago
	}
	v["number"], v["out"], v["queries"], v["level"] = int64(m.Attempt), int64(m.OutstandingAttempts), int64(m.ServerQueries), int64(m.Priority)
	v["ended"], v["further"], v["taken"], v["key_open"] = endTexts[m.End], int64(m.Retries), int64(m.Requests), m.EarlierKeyUnfinished
	if m.Kind != cluster.AttemptEnded {
		v["ended"] = ""
	}
	v["recent"], v["cores"], v["last_end"], v["first_zone"], v["since_first"] = m.RecentWork, 0.0, "", "", m.SinceFirstAttempt
	if m.Server >= 0 {
		v["cores"] = w.setup.Servers[m.Server].Cores
	}
	if m.Attempt > 0 {
		v["last_end"] = endTexts[m.LastEnd]
	}
	if m.FirstServer >= 0 {
		v["first_zone"] = w.settings.Zones[w.setup.Servers[m.FirstServer].Zone]
	}
	if m.Request == nil {
		return
	}
	t, s := m.Request, m.Stream
	v["traffic"], v["profile"] = s.Name, w.settings.Profiles[s.Profile]
	if s.Tenant < len(w.settings.Tenants) {
		v["tenant"] = w.settings.Tenants[s.Tenant]
	}
	if v["team"] = ""; s.Team < len(w.teamNames) {
		v["team"] = w.teamNames[s.Team]
	}
	v["how"], v["key"], v["waited"], v["target"] = t.Outcome.String(), int64(t.Key), m.Waited, t.Target
	v["took"], v["in_time"] = t.EndedAt-t.ReceivedAt, t.InTime()
	v["deadline"], v["work"], v["estimate"], v["tries"] = s.Deadline, t.Work, t.Cost, int64(t.ClientRequest)
	v["pause"], v["was_sent"] = t.RetryAfter, !math.IsNaN(t.FirstSentAt)
}

// conditions compiles the conditions of an expectation and notes servers in them that the server list never contains.
func (a expectationCheck) conditions(w *simulation) (all []*hold, err error) {
	env, err := newCELEnvironment()
	if err != nil {
		return nil, err
	}
	for n, spec := range a.expectation.Holds {
		h := &hold{Hold: spec, path: fmt.Sprintf("/holds/%d", n), openSince: map[uint64]float64{}, minSlack: math.Inf(1)}
		compile := func(field, text string) (p program) {
			if text != "" && err == nil {
				p, err = w.compile(env, h.path+"/"+field, text)
			}
			return p
		}
		kinds := 0
		if r := spec.Never; r != nil {
			kinds++
			h.when, h.that = compile("never/when", r.When), compile("never/that", r.That)
		}
		if r := spec.Always; r != nil {
			kinds++
			h.when, h.that = compile("always/when", r.When), compile("always/that", r.That)
		}
		if r := spec.AtLeast; r != nil {
			kinds++
			h.when, h.that = compile("at_least/when", r.When), compile("at_least/that", r.That)
		}
		if r := spec.Within; r != nil {
			kinds++
			h.when, h.then = compile("within/when", r.When), compile("within/that", r.That)
		}
		if err == nil && kinds != 1 {
			err = errorAt(h.path, "%d of never, always, within and at_least are set, but exactly one is needed", kinds)
		}
		if err != nil {
			return nil, err
		}
		all = append(all, h)
	}
	return all, a.checkContradictions(all)
}

// checkContradictions returns an error if one hold requires always what another requires never.
func (a expectationCheck) checkContradictions(all []*hold) error {
	for n, h := range all {
		for k, o := range all[:n] {
			if h.Never != nil && o.Always != nil && *h.Never == *o.Always || h.Always != nil && o.Never != nil && *h.Always == *o.Never {
				return errorAt(h.path, "it contradicts /holds/%d", k)
			}
		}
	}
	return nil
}

// compile compiles one condition.
func (w *simulation) compile(env *cel.Env, place, text string) (p program, err error) {
	tree, issues := env.Compile(text)
	if issues.Err() != nil {
		e := issues.Errors()[0]
		return p, errorAt(place, "column %d: %s", e.Location.Column()+1, e.Message)
	}
	if tree.OutputType() != cel.BoolType {
		return p, errorAt(place, "the type is %s instead of bool", tree.OutputType())
	}
	const cost = 10000 // limit on the steps of one evaluation: hundreds of times the cost of an ordinary condition
	if p.Program, err = env.Program(tree, cel.CostLimit(cost), cel.EvalOptions(cel.OptOptimize)); err != nil {
		return p, errorAt(place, "%v", err)
	}
	w.noteUnknownServers(place, tree)
	return p, nil
}

// noteUnknownServers notes servers that a condition compares with and that the server list never contains.
func (w *simulation) noteUnknownServers(place string, tree *cel.Ast) {
	check := func(e ast.Expr) {
		if e.Kind() != ast.LiteralKind {
			return
		}
		if name, ok := e.AsLiteral().Value().(string); ok && name != "" {
			for _, known := range w.serverNames {
				if known == name {
					return
				}
			}
			w.voidReasons = append(w.voidReasons, fmt.Sprintf("%s: the server list never contains engine %q (list number: 1)", place, name))
		}
	}
	ast.PostOrderVisit(tree.NativeRep().Expr(), ast.NewExprVisitor(func(e ast.Expr) {
		if e.Kind() != ast.CallKind {
			return
		}
		call := e.AsCall()
		args := call.Args()
		if len(args) != 2 {
			return
		}
		isServerName := func(e ast.Expr) bool { return e.Kind() == ast.IdentKind && e.AsIdent() == "engine" }
		switch call.FunctionName() {
		case operators.Equals, operators.NotEquals:
			if isServerName(args[0]) {
				check(args[1])
			} else if isServerName(args[1]) {
				check(args[0])
			}
		case operators.In:
			if isServerName(args[0]) && args[1].Kind() == ast.ListKind {
				for _, x := range args[1].AsList().Elements() {
					check(x)
				}
			}
		}
	}))
}
