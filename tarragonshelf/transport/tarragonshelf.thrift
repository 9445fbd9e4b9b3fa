// Messages between tarragonshelf's processes, and records of its durable state.
// The meaning of a field number must never change; new fields get new numbers.

struct Member {
  1: optional string identity
  2: optional string vm
  3: optional string address
  4: optional bool voting
}

struct Membership {
  1: optional list<Member> members
}

struct LogEntry {
  1: optional i64 index
  2: optional i64 term
  3: optional string kind
  4: optional binary payload
  5: optional Membership membership
  6: optional double time
}

struct HardState {
  1: optional i64 term
  2: optional string vote
}

struct Snapshot {
  1: optional i64 index
  2: optional i64 term
  3: optional Membership membership
  4: optional binary data
  5: optional double time
}

struct Record {
  1: optional HardState hard_state
  2: optional i64 first_index
  3: optional list<LogEntry> entries
}

struct VoteRequest {
  1: optional i64 term
  2: optional string candidate
  3: optional i64 last_index
  4: optional i64 last_term
  5: optional bool pre_vote
  6: optional bool transfer
}

struct VoteReply {
  1: optional i64 term
  2: optional string voter
  3: optional bool granted
  4: optional bool pre_vote
}

struct AppendRequest {
  1: optional i64 term
  2: optional string leader
  3: optional i64 previous_index
  4: optional i64 previous_term
  5: optional list<LogEntry> entries
  6: optional i64 commit
  7: optional i64 round
}

struct AppendReply {
  1: optional i64 term
  2: optional string follower
  3: optional bool success
  4: optional i64 match_index
  5: optional i64 round
}

struct SnapshotRequest {
  1: optional i64 term
  2: optional string leader
  3: optional Snapshot snapshot
  4: optional i64 offset
  5: optional i64 size
  6: optional i64 round
}

struct SnapshotReply {
  1: optional i64 term
  2: optional string follower
  3: optional i64 index
  4: optional i64 offset
  5: optional bool installed
  6: optional i64 round
}

struct ElectNow {
  1: optional i64 term
  2: optional string leader
}

struct Header {
  1: optional string name
  2: optional string value
}

struct Answer {
  1: optional i64 status
  2: optional list<Header> headers
  3: optional binary body
  4: optional bool is_truncated
}

struct OrderKey {
  1: optional string account
  2: optional string route
  3: optional string key
}

struct ClaimId {
  1: optional string vm
  2: optional string incarnation
  3: optional i64 number
}

struct ClaimKey {
  1: optional ClaimId claim
  2: optional OrderKey key
  3: optional string digest
  4: optional string service_name
  5: optional double patience
  6: optional double window
}

struct SettleKey {
  1: optional ClaimId claim
  2: optional OrderKey key
  3: optional Answer answer
  4: optional string digest
  5: optional string service_name
  6: optional double window
}

struct AbandonKey {
  1: optional ClaimId claim
  2: optional OrderKey key
}

struct SuspendKey {
  1: optional ClaimId claim
  2: optional OrderKey key
  3: optional string reason
  4: optional string target
}

struct ResolveKey {
  1: optional OrderKey key
  2: optional bool ran
  3: optional string operator
}

struct ClaimResult {
  1: optional string state
  2: optional Answer answer
}

struct KeyRecord {
  1: optional OrderKey key
  2: optional ClaimId claim
  3: optional string digest
  4: optional string service_name
  5: optional string state
  6: optional double since
  7: optional double expires
  8: optional double window
  9: optional Answer answer
  10: optional string reason
  11: optional string target
}

struct Tombstone {
  1: optional ClaimId claim
  2: optional double expires
}

struct LedgerState {
  1: optional list<KeyRecord> records
  2: optional list<Tombstone> tombstones
}

struct Chunk {
  1: optional string digest
  2: optional binary content
}

struct ApplyConfiguration {
  1: optional string change_id
  2: optional i64 base_version
  3: optional string author
  4: optional list<string> manifest
  5: optional list<Chunk> chunks
}

struct ApplyResult {
  1: optional string state
  2: optional i64 version
  3: optional string author
  4: optional string change_id
  5: optional i64 revision
}

struct ConfigurationVersion {
  1: optional i64 version
  2: optional i64 revision
  3: optional string author
  4: optional string change_id
  5: optional list<string> manifest
}

struct ChangeRecord {
  1: optional string change_id
  2: optional string digest
  3: optional ApplyResult result
}

struct RegisterState {
  1: optional ConfigurationVersion current
  2: optional list<Chunk> chunks
  3: optional list<ChangeRecord> changes
}

struct Evidence {
  1: optional string service_name
  2: optional string target
  3: optional string incarnation
  4: optional i64 answered
  5: optional i64 failed
  6: optional i64 hung
}

struct EvidenceDigest {
  1: optional string source
  2: optional list<Evidence> items
}

struct ReadyTarget {
  1: optional string address
  2: optional string incarnation
}

struct Suspect {
  1: optional string address
  2: optional string incarnation
  3: optional double score
  4: optional string reason
}

struct ReportHealth {
  1: optional string service_name
  2: optional string watcher
  3: optional list<ReadyTarget> ready
  4: optional list<Suspect> suspects
  5: optional list<string> recovered
}

struct Ejection {
  1: optional string service_name
  2: optional string target
  3: optional string incarnation
  4: optional double score
  5: optional string reason
  6: optional double since
  7: optional i64 count
}

struct HealthResult {
  1: optional list<Ejection> ejections
}

struct WatcherReport {
  1: optional string service_name
  2: optional string watcher
  3: optional double time
  4: optional list<ReadyTarget> ready
}

struct GrantsState {
  1: optional list<Ejection> ejections
  2: optional list<WatcherReport> reports
}

struct PoisonNote {
  1: optional string digest
  2: optional string target
  3: optional string incarnation
}

struct AdvanceClock {
}

struct SetDrained {
  1: optional string vm
  2: optional bool drained
}

struct Done {
  1: optional i64 index
}

struct Refused {
  1: optional string reason
  2: optional string leader
  3: optional string detail
}

struct Follow {
  1: optional string vm
  2: optional string incarnation
  3: optional i64 revision
  4: optional i64 version
  5: optional string http
  6: optional string peer
  7: optional string data_centre
  8: optional bool is_patient
}

struct Followed {
  1: optional string cluster
  2: optional i64 revision
  3: optional ConfigurationVersion configuration
  4: optional list<Ejection> ejections
  5: optional list<string> drained
  6: optional bool is_stale
  7: optional string leader
}

struct FetchChunks {
  1: optional list<string> digests
}

struct Chunks {
  1: optional list<Chunk> items
}

struct ConfigurationRequest {
}

struct UnresolvedRequest {
}

struct UnresolvedOrders {
  1: optional double time
  2: optional list<KeyRecord> records
}

struct StatusRequest {
}

struct AttachedEntry {
  1: optional string vm
  2: optional string http
  3: optional string peer
  4: optional string data_centre
  5: optional i64 version
  6: optional double age
}

struct ControlStatus {
  1: optional string identity
  2: optional string vm
  3: optional string role
  4: optional i64 term
  5: optional string leader
  6: optional bool is_current
  7: optional bool is_initialized
  8: optional i64 commit
  9: optional i64 log_entries
  10: optional Membership membership
  11: optional ConfigurationVersion configuration
  12: optional list<Ejection> ejections
  13: optional list<string> drained
  14: optional i64 unresolved
  15: optional i64 keys
  16: optional list<AttachedEntry> entries
}

struct Initialize {
  1: optional string cluster
  2: optional Membership membership
}

struct Join {
  1: optional string identity
  2: optional string vm
  3: optional string address
}

struct Retire {
  1: optional string vm
}

struct ControlSnapshot {
  1: optional string cluster
  2: optional i64 index
  3: optional i64 revision
  4: optional double time
  5: optional RegisterState register
  6: optional LedgerState ledger
  7: optional GrantsState grants
  8: optional list<string> drained
}

struct EntryRecord {
  1: optional string vm
  2: optional i64 incarnation
  3: optional i64 sequence
  4: optional string state
  5: optional string http
  6: optional string peer
  7: optional string data_centre
}

struct TargetRecord {
  1: optional string service_name
  2: optional string address
  3: optional string data_centre
  4: optional i64 slots
  5: optional string state
  6: optional i64 incarnation
  7: optional i64 sequence
  8: optional list<string> registrars
}

struct Gossip {
  1: optional EntryRecord source
  2: optional list<EntryRecord> entries
  3: optional list<TargetRecord> targets
  4: optional list<PoisonNote> poisons
  5: optional list<i64> buckets
  6: optional list<i64> wanted
  7: optional i64 revision
  8: optional bool is_reply
}

struct TargetView {
  1: optional string service_name
  2: optional string address
  3: optional string data_centre
  4: optional string state
  5: optional i64 outstanding
  6: optional bool is_ejected
  7: optional string reason
}

struct ServiceView {
  1: optional string name
  2: optional i64 ready
  3: optional i64 healthy
  4: optional i64 floor
}

struct EntryStatus {
  1: optional string vm
  2: optional i64 version
  3: optional i64 revision
  4: optional bool is_control_reached
  5: optional list<EntryRecord> entries
  6: optional list<TargetView> targets
  7: optional list<ServiceView> services
}

struct Challenge {
  1: optional binary nonce
}

struct Proof {
  1: optional string vm
  2: optional string role
  3: optional binary nonce
  4: optional binary digest
}

struct Welcome {
  1: optional string vm
  2: optional binary digest
}

struct KeepAlive {
}

struct KeepAliveReply {
}

struct PutCatalogue {
  1: optional i64 version
  2: optional binary content
}

struct CatalogueStored {
  1: optional i64 version
}

struct ReadCatalogue {
}

struct CatalogueCopy {
  1: optional i64 version
  2: optional binary content
}

struct CatalogueState {
  1: optional i64 index
  2: optional i64 version
  3: optional binary content
}

struct TargetEntry {
  1: optional string identity
  2: optional i64 started
  3: optional i64 sequence
  4: optional string state
  5: optional string address
  6: optional string service_name
  7: optional string data_centre
  8: optional i64 slots
  9: optional double warm_seconds
  10: optional string registrar
  11: optional bool is_expired
}

struct TargetNews {
  1: optional list<TargetEntry> targets
  2: optional i64 number
  3: optional string sender
  4: optional bool is_whole
}

struct TargetNewsReceived {
  1: optional i64 number
  2: optional string vm
}

struct TargetDigest {
  1: optional string vm
  2: optional i64 digest
  3: optional bool wants_all
}

struct EvidenceItem {
  1: optional string target
  2: optional string kind
  3: optional i64 request_digest
  4: optional string source
  5: optional double rate
}

// Field 3 is no longer used and must not be reused: it held the source of all items.
struct EvidenceNews {
  1: optional list<EvidenceItem> items
  2: optional bool is_relayed
}

struct HubRecord {
  1: optional string vm
  2: optional string address
  3: optional string announcements
  4: optional string data_centre
}

struct HubNews {
  1: optional list<HubRecord> hubs
}

struct EdgeRecord {
  1: optional string address
  2: optional string data_centre
}

struct EdgeNews {
  1: optional list<EdgeRecord> edges
  2: optional i64 total
}

struct Subscribe {
  1: optional string vm
  2: optional string address
  3: optional string data_centre
  4: optional i64 version
  5: optional bool is_serving
  6: optional bool is_lookup
  7: optional string relay_address
  8: optional bool is_isolated
}

struct HubBeat {
  1: optional string vm
  2: optional bool is_current
  3: optional i64 edges
  4: optional i64 revision
}

struct LoadItem {
  1: optional string target
  2: optional i64 count
}

struct RequestCount {
  1: optional string service_name
  2: optional i64 count
}

struct LoadReport {
  1: optional list<LoadItem> items
  2: optional list<RequestCount> requests
}

struct RepeatAsk {
  1: optional i64 number
  2: optional string service_name
}

struct RepeatReply {
  1: optional i64 number
  2: optional bool is_granted
}

struct LoadNews {
  1: optional list<LoadItem> items
  2: optional bool is_whole
}

struct HubLoad {
  1: optional string vm
  2: optional list<LoadItem> items
}

struct HubBusy {
  1: optional string vm
  2: optional list<LoadItem> items
}

struct RateLimit {
  1: optional string target
  2: optional double rate
}

struct PermitRequest {
  1: optional i64 number
  2: optional string service_name
  3: optional list<RateLimit> limits
  4: optional double service_rate
  5: optional bool has_alternative
}

struct PermitReply {
  1: optional i64 number
  2: optional string target
  3: optional double wait
  4: optional double retry_after
}

struct RelayedPermitRequest {
  1: optional string address
  2: optional i64 subscriber
  3: optional PermitRequest request
}

struct RelayedPermitReply {
  1: optional i64 subscriber
  2: optional PermitReply reply
}

struct RelayRecord {
  1: optional string address
  2: optional string data_centre
}

struct RelayQuery {
  1: optional string address
}

struct RelayList {
  1: optional string vm
  2: optional list<RelayRecord> relays
}

struct RelayNews {
  1: optional list<RelayRecord> relays
}

struct RelayHeader {
  1: optional binary name
  2: optional binary value
}

struct RelayRequest {
  1: optional i64 number
  2: optional binary method
  3: optional binary path
  4: optional string host
  5: optional list<RelayHeader> headers
  6: optional binary request_id
  7: optional bool has_body
  8: optional i64 size
  9: optional binary body
  10: optional double remaining_seconds
  11: optional i64 maximum_attempts
  12: optional i64 minimum_version
}

struct RelayChunk {
  1: optional i64 number
  2: optional binary data
}

struct RelayCancel {
  1: optional i64 number
}

struct RelayResponse {
  1: optional i64 number
  2: optional i64 status
  3: optional list<RelayHeader> headers
  4: optional i64 size
  5: optional binary body
  6: optional string target
  7: optional i64 executions
  8: optional i64 deliveries
  9: optional i64 version
}

struct RelayRefusal {
  1: optional i64 number
  2: optional string reason
  3: optional bool has_run
  4: optional double retry_after
  5: optional i64 executions
  6: optional i64 deliveries
  7: optional i64 version
}

struct RelayDecline {
  1: optional i64 number
  2: optional string reason
}

struct AllowanceRequest {
  1: optional i64 number
  2: optional string account
  3: optional i64 count
}

struct AllowanceReply {
  1: optional i64 number
  2: optional i64 granted
  3: optional double retry_after
  4: optional double interval
  5: optional bool is_decided
}

struct RelayedAllowanceRequest {
  1: optional string address
  2: optional AllowanceRequest request
}

struct RelayedAllowanceReply {
  1: optional AllowanceReply reply
}

// Exactly one field is set: the message.
struct Body {
  1: optional Member member
  2: optional Membership membership
  3: optional LogEntry logEntry
  4: optional HardState hardState
  5: optional Snapshot snapshot
  6: optional Record record
  7: optional VoteRequest voteRequest
  8: optional VoteReply voteReply
  9: optional AppendRequest appendRequest
  10: optional AppendReply appendReply
  11: optional SnapshotRequest snapshotRequest
  12: optional SnapshotReply snapshotReply
  13: optional ElectNow electNow
  14: optional Header header
  15: optional Answer answer
  16: optional OrderKey orderKey
  17: optional ClaimId claimId
  18: optional ClaimKey claimKey
  19: optional SettleKey settleKey
  20: optional AbandonKey abandonKey
  21: optional SuspendKey suspendKey
  22: optional ResolveKey resolveKey
  23: optional ClaimResult claimResult
  24: optional KeyRecord keyRecord
  25: optional Tombstone tombstone
  26: optional LedgerState ledgerState
  27: optional Chunk chunk
  28: optional ApplyConfiguration applyConfiguration
  29: optional ApplyResult applyResult
  30: optional ConfigurationVersion configurationVersion
  31: optional ChangeRecord changeRecord
  32: optional RegisterState registerState
  33: optional Evidence evidence
  34: optional EvidenceDigest evidenceDigest
  35: optional ReadyTarget readyTarget
  36: optional Suspect suspect
  37: optional ReportHealth reportHealth
  38: optional Ejection ejection
  39: optional HealthResult healthResult
  40: optional WatcherReport watcherReport
  41: optional GrantsState grantsState
  42: optional PoisonNote poisonNote
  43: optional AdvanceClock advanceClock
  44: optional SetDrained setDrained
  45: optional Done done
  46: optional Refused refused
  47: optional Follow follow
  48: optional Followed followed
  49: optional FetchChunks fetchChunks
  50: optional Chunks chunks
  51: optional ConfigurationRequest configurationRequest
  52: optional UnresolvedRequest unresolvedRequest
  53: optional UnresolvedOrders unresolvedOrders
  54: optional StatusRequest statusRequest
  55: optional AttachedEntry attachedEntry
  56: optional ControlStatus controlStatus
  57: optional Initialize initialize
  58: optional Join join
  59: optional Retire retire
  60: optional ControlSnapshot controlSnapshot
  61: optional EntryRecord entryRecord
  62: optional TargetRecord targetRecord
  63: optional Gossip gossip
  64: optional TargetView targetView
  65: optional ServiceView serviceView
  66: optional EntryStatus entryStatus
  67: optional Challenge challenge
  68: optional Proof proof
  69: optional Welcome welcome
  70: optional PutCatalogue putCatalogue
  71: optional CatalogueStored catalogueStored
  72: optional ReadCatalogue readCatalogue
  73: optional CatalogueCopy catalogueCopy
  74: optional CatalogueState catalogueState
  75: optional TargetEntry targetEntry
  76: optional TargetNews targetNews
  77: optional TargetNewsReceived targetNewsReceived
  78: optional TargetDigest targetDigest
  79: optional EvidenceItem evidenceItem
  80: optional EvidenceNews evidenceNews
  81: optional HubRecord hubRecord
  82: optional HubNews hubNews
  83: optional EdgeRecord edgeRecord
  84: optional EdgeNews edgeNews
  85: optional Subscribe subscribe
  86: optional HubBeat hubBeat
  87: optional LoadItem loadItem
  88: optional LoadReport loadReport
  89: optional LoadNews loadNews
  90: optional HubLoad hubLoad
  91: optional HubBusy hubBusy
  92: optional RequestCount requestCount
  93: optional RepeatAsk repeatAsk
  94: optional RepeatReply repeatReply
  95: optional KeepAlive keepAlive
  96: optional KeepAliveReply keepAliveReply
  97: optional RateLimit rateLimit
  98: optional PermitRequest permitRequest
  99: optional PermitReply permitReply
  100: optional RelayedPermitRequest relayedPermitRequest
  101: optional RelayedPermitReply relayedPermitReply
  102: optional RelayRecord relayRecord
  103: optional RelayQuery relayQuery
  104: optional RelayList relayList
  105: optional RelayNews relayNews
  106: optional RelayHeader relayHeader
  107: optional RelayRequest relayRequest
  108: optional RelayChunk relayChunk
  109: optional RelayCancel relayCancel
  110: optional RelayResponse relayResponse
  111: optional RelayRefusal relayRefusal
  112: optional RelayDecline relayDecline
  113: optional AllowanceRequest allowanceRequest
  114: optional AllowanceReply allowanceReply
  115: optional RelayedAllowanceRequest relayedAllowanceRequest
  116: optional RelayedAllowanceReply relayedAllowanceReply
}

// One frame. `call` numbers a call and its reply and is 0 for a one-way message; `is_reply` is
// set in a reply; `stamp` is the sender's hybrid logical time.
struct Envelope {
  1: optional i64 stamp
  2: optional i64 call
  3: optional bool is_reply
  4: optional Body body
}
