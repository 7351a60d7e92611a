//! Settings of small deployments: classes with their aims and deadlines, and what the site allows.

/// `deploy/sites/seed-bank.toml`: lists that are asked for, long deadlines, no cancelling.
pub const SEED_BANK: &str = r#"{"balancers":1,"me":0,"tier":0,"tiers":["catalogue"],"family":"chain",
"zone":"vault-1","zones":["vault-1"],"kinds":["cat-two"],"resolutionS":0.005,"weights":"off","worthBy":"work",
"lanes":[
 {"name":"lot-withdraw","onTimeS":2.5,"hardLimitS":9.0,"lateWorth":0.0,"worth":5.0,"effect":"at_most_once","dedupScope":"all","windowS":5.0,"stream":false},
 {"name":"lot-view","onTimeS":3.0,"hardLimitS":7.0,"lateWorth":0.0,"worth":1.0,"effect":"idempotent","dedupScope":"all","windowS":5.0,"stream":false},
 {"name":"label-print","onTimeS":3.0,"hardLimitS":7.0,"lateWorth":0.0,"worth":3.0,"effect":"deduplicated","dedupScope":"zone","windowS":9.0,"stream":false}],
"projects":[{"name":"growers"}],"overShareWorth":0.6,"discovery":"subscribe","clients":{"marksRetry":false},
"caps":{"cancel":false,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeoutS":0.06,"keepaliveS":45.0,"maxRetryAfterS":2.5,
 "mayProbe":true,"mayTell":false,"mostHeld":20000,"multiplex":1,"retryAfter":true,"secondCopies":false,"tryLimit":5},
"loadInfo":{"fields":["active","cpu"],"via":"inline"},
"prices":{"crossZone":0.0,"waste":0.1,"probe":0.005,"lateFail":0.06},
"rules":{"answerSlackS":0.02,"askWithinS":10.0,"coldShare":0.25,"coldS":9.0,"drainGraceS":0.8,"fallMultiple":2.8,"overloadForS":1.6}}"#;

/// `athens-main`: lists that are pushed.
pub const ATHENS_MAIN: &str = r#"{"balancers":1,"me":0,"tier":0,"tiers":["api-front"],"family":"chain",
"zone":"athens-dc1","zones":["athens-dc1"],"kinds":["front-fast"],"resolutionS":0.005,"weights":"off","worthBy":"request",
"lanes":[
 {"name":"point-read","onTimeS":3.0,"hardLimitS":8.0,"lateWorth":0.0,"worth":2.0,"effect":"idempotent","dedupScope":"all","windowS":5.0,"stream":false},
 {"name":"alert-order","onTimeS":1.5,"hardLimitS":4.0,"lateWorth":0.0,"worth":10.0,"effect":"at_most_once","dedupScope":"all","windowS":5.0,"stream":false},
 {"name":"tile-export","onTimeS":1.5,"hardLimitS":4.0,"lateWorth":0.0,"worth":2.0,"effect":"deduplicated","dedupScope":"cell","windowS":6.0,"stream":false}],
"projects":[{"name":"ionian-ferries"}],"overShareWorth":0.2,"discovery":"automatic","clients":{"marksRetry":false},
"caps":{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutS":0.1,"keepaliveS":30.0,"maxRetryAfterS":3.0,
 "mayProbe":true,"mayTell":false,"mostHeld":20000,"multiplex":1,"retryAfter":true,"secondCopies":true,"tryLimit":4},
"loadInfo":{"fields":["avg_ms","waiting"],"via":"inline"},
"prices":{"crossZone":0.0,"waste":0.087,"probe":0.01,"lateFail":0.05},
"rules":{"answerSlackS":0.02,"askWithinS":10.0,"coldShare":0.3,"coldS":7.3,"drainGraceS":0.3,"fallMultiple":3.0,"overloadForS":2.0}}"#;
