// Messages of the protocol between the processes of hornbeamshore.
// Fields have the names of the matching data class in messages.py, except service_name.
// New fields are optional, for compatibility with peers of an older version.

struct Header { 1: string name, 2: string value }
struct JobKey { 1: string team, 2: string service_name, 3: string job_id }
struct TaskSpec { 1: string method, 2: string path, 3: list<Header> headers, 4: binary body }
struct TaskResult {
  1: i32 index, 2: i32 attempt, 3: i32 code, 4: i32 run_state, 5: i32 status,
  6: list<Header> headers, 7: binary body, 8: i64 run_time_us, 9: string detail
}
struct JobRequest {
  1: JobKey key, 2: string kind, 3: list<TaskSpec> tasks, 4: i64 timeout_ms,
  5: i64 submitted_at_ms, 6: bool single, 7: binary fingerprint,
  8: i32 task_count, 9: i64 age_ms
}
struct JobAnswer {
  1: JobKey key, 2: i32 code, 3: i32 run_state, 4: string detail,
  5: list<TaskResult> results, 6: i64 retry_after_ms
}

// Handshake sequence: Hello, Challenge, Proof, then Welcome or Reject.
struct Hello {
  1: string deployment, 2: string kind, 3: string process_id, 4: i64 incarnation,
  5: i32 protocol_version, 6: string data_centre, 7: string rack, 8: string address,
  9: binary nonce
}
struct Challenge {
  1: string kind, 2: string process_id, 3: i64 incarnation, 4: i32 protocol_version,
  5: string data_centre, 6: string rack, 7: string address, 8: binary nonce, 9: binary proof
}
struct Proof { 1: binary proof }
struct Welcome { 1: i64 config_revision, 2: i64 table_version }
struct Reject { 1: i32 code, 2: string detail }

struct Heartbeat {
  1: i64 config_revision, 2: i64 table_version, 3: i32 slots_in_use, 4: bool leaving
}
struct Announce {
  1: string service_name, 2: string target, 3: i32 slots, 4: i32 connections,
  5: list<string> labels, 6: bool leaving, 7: i64 records_since
}

struct Start {
  1: string partition, 2: i64 epoch, 3: JobKey key, 4: i32 index, 5: i32 attempt,
  6: string kind, 7: TaskSpec spec, 8: i64 expires_at_ms, 9: i64 timeout_ms
}
struct TaskDone { 1: string partition, 2: JobKey key, 3: TaskResult result }
struct TaskRef { 1: JobKey key, 2: i32 index, 3: i32 attempt }
struct Acknowledge { 1: string partition, 2: list<TaskRef> tasks }
struct CancelTasks { 1: string partition, 2: i64 epoch, 3: list<TaskRef> tasks }

struct StartRecord {
  1: JobKey key, 2: i32 index, 3: i32 attempt, 4: i32 state, 5: i64 started_at_ms,
  6: TaskResult result, 7: string agent_id
}
struct RosterEntry {
  1: string agent_id, 2: i64 incarnation, 3: bool live, 4: bool accounted_for,
  5: i64 lost_at_ms, 6: string rack
}
struct Roster { 1: i64 epoch, 2: i64 version, 3: list<RosterEntry> entries }
struct Fence { 1: string partition, 2: i64 epoch, 3: optional bool takes_ahead }
struct FenceReply {
  1: string partition, 2: i32 code, 3: i64 epoch, 4: list<StartRecord> records, 5: Roster roster
}
struct FenceRecords { 1: string partition, 2: i64 epoch, 3: list<StartRecord> records }
struct Renew { 1: string partition, 2: i64 epoch }
struct RenewReply { 1: i32 code, 2: i64 epoch }
struct Release { 1: string partition, 2: i64 epoch }
struct Reconcile { 1: string partition, 2: i64 epoch, 3: list<TaskRef> tasks }
struct ReconcileReply { 1: string partition, 2: list<StartRecord> records, 3: list<TaskRef> refused }
struct CopyRecords { 1: string partition, 2: i64 epoch, 3: string agent_id, 4: list<StartRecord> records }
struct CopyRecordsReply { 1: i32 code }
struct RosterUpdate { 1: string partition, 2: Roster roster }
struct Leave { 1: list<StartRecord> records }
struct LeaveReply { 1: i32 code }

struct Submit { 1: JobRequest request, 2: i64 table_version }
struct SubmitReply { 1: JobAnswer answer }
struct JobQuery { 1: JobKey key, 2: bool wait }
struct JobCancel { 1: JobKey key }

struct JobRecord {
  1: JobKey key, 2: JobRequest request, 3: i64 accepted_at_ms, 4: JobAnswer answer,
  5: list<StartRecord> tasks
}
struct Handover {
  1: string partition, 2: i64 epoch, 3: list<JobRecord> jobs, 4: Roster roster, 5: bool last,
  6: bool complete, 7: i64 taken_over_at_ms
}
struct HandoverReply { 1: i32 code, 2: string detail }

struct TableEntry {
  1: string entry_id, 2: i64 incarnation, 3: string address, 4: string data_centre, 5: string rack
}
struct OwnerTable { 1: i64 version, 2: list<TableEntry> entries, 3: list<string> owned }
struct TableUpdate { 1: OwnerTable table, 2: optional string partition }
struct OwnerNotice { 1: string partition, 2: i64 epoch, 3: string entry_id }
struct ConfigPull { 1: i64 known_revision }
struct ConfigUpdate { 1: i64 revision, 2: binary content }
struct StatusQuery { 1: string topic }
struct StatusReply { 1: string content }

// Direct dispatch: an entry orders runs of tasks from an agent, under a lease that each
// message from the entry renews.
struct Resources { 1: i32 cpu_millis, 2: i32 mem_mb, 3: i32 gpus }
struct RunOrder {
  1: i64 run_id, 2: i32 step, 3: i32 index, 4: i32 attempt, 5: Resources needs,
  6: bool isolated
}
struct RunTasks { 1: string job_id, 2: string spec, 3: list<RunOrder> orders, 4: string queue }
struct StopRuns { 1: list<i64> run_ids }
struct AckRuns { 1: list<i64> run_ids }
// Between entries: a caller may cancel a job at another entry than the one that runs it.
struct CancelJobs { 1: list<string> job_ids }
struct CancelJobsReply { 1: list<string> found }
struct RunEnd { 1: i64 run_id, 2: i32 code, 3: i32 run_state, 4: i64 run_time_us, 5: string detail }
struct TargetDescription {
  1: string target, 2: string service_name, 3: list<string> labels, 4: Resources capacity
}
struct LostRun {
  1: string job_id, 2: i32 step, 3: i32 index, 4: string queue, 5: i32 age_ms, 6: bool isolated
}
struct TargetLoss { 1: i64 number, 2: bool crashed, 3: i32 elapsed_ms, 4: list<LostRun> runs }
struct AgentReport {
  4: bool accepting, 6: Resources free, 7: i64 received, 8: list<RunEnd> ends,
  9: bool complete, 10: list<i64> held, 11: optional TargetDescription description,
  12: list<TargetLoss> losses
}

// Exactly one body field is set.
struct Message {
  1: i64 id, 2: i64 reply_to,
  10: optional Hello hello, 11: optional Challenge challenge, 12: optional Proof proof,
  13: optional Welcome welcome, 14: optional Reject reject,
  15: optional Heartbeat heartbeat, 16: optional Announce announce,
  20: optional Start start, 21: optional TaskDone task_done,
  22: optional Acknowledge acknowledge, 23: optional CancelTasks cancel_tasks,
  30: optional Fence fence, 31: optional FenceReply fence_reply, 32: optional Release release,
  33: optional Reconcile reconcile, 34: optional ReconcileReply reconcile_reply,
  35: optional CopyRecords copy_records, 36: optional CopyRecordsReply copy_records_reply,
  37: optional RosterUpdate roster_update, 38: optional Leave leave,
  39: optional LeaveReply leave_reply,
  40: optional Submit submit, 41: optional SubmitReply submit_reply,
  42: optional JobQuery job_query, 43: optional JobCancel job_cancel,
  44: optional Handover handover, 45: optional HandoverReply handover_reply,
  50: optional TableUpdate table_update, 51: optional OwnerNotice owner_notice,
  52: optional ConfigPull config_pull, 53: optional ConfigUpdate config_update,
  54: optional StatusQuery status_query,  55: optional StatusReply status_reply,
  56: optional Renew renew, 57: optional RenewReply renew_reply,
  58: optional FenceRecords fence_records,
  60: optional RunTasks run_tasks, 61: optional StopRuns stop_runs,
  62: optional AckRuns ack_runs, 63: optional AgentReport agent_report,
  64: optional CancelJobs cancel_jobs, 65: optional CancelJobsReply cancel_jobs_reply
}
// Clocks in milliseconds, 0 if unknown: that of the sender, and a lower bound of that of
// the receiver.
struct Batch { 1: list<Message> messages, 2: i64 sender_ms, 3: i64 receiver_ms }
