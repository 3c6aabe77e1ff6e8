package placement

import "time"

// PromptWait estimates the time until the upstream has read the prompts that wait there. engine
// is what was learnt of its service's engines; nil if nothing was.
func (u *Upstream) PromptWait(now time.Time, engine *Engine) time.Duration {
	tokens := u.waitingTokens(now, Options{Engine: engine})
	if engine == nil {
		return time.Duration(tokens / promptTokensPerMs * float64(time.Millisecond))
	}
	// The tokens are those of several prompts, and pairs count within a prompt only.
	return time.Duration(u.outlook(now, engine).mean * engine.Costs().TokenMs * tokens * float64(time.Millisecond))
}
