"""Every number the fleet runs by, in one place, each with its unit in the name and its reason beside it.

Names end in MS (milliseconds), BYTES, TOKENS, SHARE (a fraction of one) or are plain counts. Values that an
operator may change live in the configuration (see ``configuration``); what stands here is agreed by all processes of
a fleet, since they judge each other's silence by it.
"""

from typing import Final

# Formats: what this version writes, and the highest that it reads. A new one is first read everywhere, then written.
WIRE_FORMAT: Final = 1  # of frames between the fleet's processes
WIRE_READS: Final = 1  # a frame of a higher format is answered with an error that says so
STORAGE_FORMAT: Final = 1  # of files in the data folder
STORAGE_READS: Final = 1  # a process that finds a higher format ends and leaves the folder as it is

# Wire
FRAME_MOST_BYTES: Final = 24 * 1024 * 1024  # a configuration of some ten thousand bindings, with room
FRAME_DIGITS_MOST: Final = 8  # enough digits for FRAME_MOST_BYTES; a longer length is a broken frame
DEFLATE_FROM_BYTES: Final = 4_096  # smaller frames fit in a few packets anyway
DEFLATE_LEVEL: Final = 1  # 1,400 routes: 758 kB to 29 kB in 3 ms; level 6 gives 27 kB in 20 ms
DIAL_WAIT_MS: Final = 300  # a live machine in the same hall answers in a few ms; dark ones must not hold us
ASK_WAIT_MS: Final = 500  # under the failover second, above a slow sync
KEPT_CONNECTIONS: Final = 20  # idle HTTP connections kept by a client that asks often, as of the platform's list
INBOX_MOST: Final = 1024  # asks waiting in one process; past it the sender feels the back pressure

# Kinship
BEAT_MS: Final = 200  # agreed beat; three of them fit in one silence
CONTROL_SILENT_MS: Final = 600  # three beats: a control node that missed them is treated as gone
CURRENT_MOST_MS: Final = 1_000  # a majority's confirmation older than this is no word that state is current
CONTROLS_ASKED: Final = 4  # control nodes asked at once by a node in search of a current one; a minority of nine
SESSION_SILENT_MS: Final = 1_000  # five beats: a session that missed them has ended
CONTROL_GRACE_MS: Final = 1_500  # without current control this long, a node needs half of its peers to grant
PEER_BEAT_MS: Final = 250  # burden and news of leaving; also the bound on going back after a wake
PEER_SILENT_MS: Final = 1_000  # four peer beats
PEER_SILENT_BEATS: Final = 4  # where beats are further apart
PEERS_MOST: Final = 8  # peers that a node of a large fleet beats; news of one reaches all of 320 in three rounds
TOLD_KEEP_MS: Final = 3_000  # sessions of a dead control node stand this long, so their nodes can move over

# Accord
PARTS: Final = 4  # parts for services; few services today, a handful keeps owners spread over three cores
CONFIGURATION_PART: Final = "creed"  # the part that holds the configuration
PREPARE_WAIT_MS: Final = 900  # a ballot waits this long for its majority: two promises of disks 30 times too slow
ACCEPT_WAIT_MS: Final = 900  # a commit waits this long, then its fate is unknown
STAND_PAUSE_MS: Final = 100  # pause before standing again, spread by up to as much, so rivals miss each other
STAND_PAUSE_MOST_MS: Final = 800  # the pause doubles up to this: on slow disks rivals of several parts need room
STAND_TRIES: Final = 3  # of one that was asked to take over; the first may find a higher promise
LEAVE_WAIT_MS: Final = 5_000  # a leaving control node hands over for no longer, where no grace time is given
LEAVE_LOOK_MS: Final = 50  # between two looks at whether a leaving node's places have been taken; a quarter beat
STAND_TURN_MS: Final = 1_000  # how long the later wait for those before them to stand; over a ballot's own wait
REPLACE_AFTER_MS: Final = 4_000  # a group member silent this long may give its place to an empty store
RECENT_MOST: Final = 256  # orders that a document of the version before remembers; a full list has dropped some
ORDERS_A_BLOCK: Final = 64  # orders kept in one block; a commit sends the last block, at most 1.6 kB
ORDER_BLOCKS_MOST: Final = 128  # 8,192 orders are remembered: twenty minutes of 400 changes a minute
KICKED_BEAT_LEAST_MS: Final = 10  # between kicked beat rounds of a control node; half of DELIVERY_LOOK_MS
DELIVERY_LOOK_MS: Final = 20  # between two looks at who has confirmed; short against the 2 s of a change
CHANGE_WAIT_MS: Final = 3_500  # a forwarded change: commit plus delivery, with room for one failover step
DELIVERY_WAIT_MS: Final = 1_900  # the wait for every node's word before 202; the brief allows about 2 s
OWNER_WAIT_MS: Final = 1_500  # how long a change waits for an owner to stand before 503
CHANGE_MOST_BYTES: Final = 4 * 1024 * 1024  # as its operator sends it
CHANGE_WORDED_MOST_BYTES: Final = 3 * CHANGE_MOST_BYTES  # half a frame: beside the rest, and beside how it was sent
OWN_VOTE_AFTER_MS: Final = 1  # an owner's asks to the others are on their way before its own disk holds it up
VOTE_SLOW_MS: Final = 50  # after a vote whose write took longer ...
DISK_SLOW_KEEP_MS: Final = 5_000  # ... a node's parts take turns this long, past any change of their groups ...
VOTE_PAUSE_MS: Final = 2  # ... the loop has this long for what waits: answers, beats
STORAGE_SLOW_MS: Final = 400  # a sync slower than this is a refusal to vote
STORAGE_KEEP: Final = 2  # versions kept of one file; only the newest counts, the other is for people

# Relay
FANOUT: Final = 3  # children a node: eight nodes need two steps
FOLLOW_HOLD_MS: Final = 200  # a parent with nothing new answers after this, which shows it lives; see Bounds
PARENT_SILENT_MS: Final = 200  # a parent that owes its answer longer than it may hold it is silent
ELSEWHERE_MS: Final = 2_000  # how long a silent parent is passed over
BEHIND_MS: Final = 150  # a beat showed newer news and the parent did not bring it within this
BEHIND_LONG_MS: Final = 1_000  # news that stay out longer than this are worth a warning
NEWS_STALL_MS: Final = 1_000  # news of which a part has come are awaited this long for more: two losses on the way
NEWS_KEEP: Final = 64  # changes kept for followers; one further behind gets a snapshot

# Runners
LIST_POLL_MS: Final = 500  # the brief allows about 3 s from the list to no new work
PAGES_MOST: Final = 1_000  # of the platform's list; more is a loop
LIST_WAIT_MS: Final = 400  # a poll slower than this is repeated at once
LIST_UNKNOWN_MS: Final = 2_500  # no list and no peers' word for this long: no seats
DUTY_MS: Final = 500  # between two looks at which duties fall to a node
VITALS_POLL_MS: Final = 500  # runners report late anyway; faster reading shows nothing new
VITALS_OLD_MS: Final = 3_000  # a report older than this no longer counts
PIECE_DIGITS_MOST: Final = 18  # a piece's number fits in 64 bits; Python refuses to read a very long one
EVENT_MOST_BYTES: Final = 1_048_576  # an event holds a few tokens; one without an end must not fill the memory
PROOF_WAIT_MS: Final = 1_000  # connecting and proving an identity
RUNNER_SILENT_MS: Final = 10_000  # between pieces; a runner dark for this long is an error
FORGET_MS: Final = 60_000  # bounds what is kept of runners off the list and of silent nodes
WATCH_MS: Final = 50  # between two looks at the tries under way; short against any aim
SILENCE_LEAST_MS: Final = 300  # a runner that sends nothing for less is only working
SILENCE_SHARE: Final = 1.5  # of what was expected: past it a silent runner is doubted
SUSPECT_MS: Final = 400  # one that answered nothing once is passed over this long, then twice as long each time
DOWN_MS: Final = 2_000  # a runner that refused or broke connections is passed over this long
FIRST_WAIT_SHARE: Final = 2.0  # of the due: how long a first token is awaited past the estimate that met it
PLAN_STEP_MS: Final = 1_000  # between two steps of a plan: an arriving home warms before the next share moves
PLAN_STEP_SHARE: Final = 0.125  # of all openings moved by one step

# Affinity
HOMES_SHOWN: Final = 8  # places of the hash at which a node shows homes; enough to see a plan's share or a lost runner
HOT_HALF_MS: Final = 5_000  # popularity halves in this time (ours); a crowd must show before its home is full
HOT_MOST: Final = 4  # openings in a service's hot set (ours); small, as the source has it
HOT_ENTER_SHARE: Final = 0.4  # of what one home can carry, at which an opening becomes hot (ours)
HOT_LEAVE_SHARE: Final = 0.2  # and below which it stops (hysteresis, ours)
COUNTS_MOST: Final = 512  # openings counted a service; bounded memory
BELIEF_MS: Final = 120_000  # how long a prompt sent is believed kept (ours)
TRUST_MS: Final = (
    20_000  # a node that came back takes homes to hold what they own this long, having no sight of its own
)
TOLD_TOKENS: Final = 1_000  # openings from this size are told to peers; smaller ones cost less than the telling
COPY_SHARE: Final = 0.1  # of a large hot opening's draws that may copy it; a copy costs a second of prefill
TOLD_MOST: Final = 16  # of them a runner; about what its memory holds
BELIEFS_MOST: Final = 4_096  # beliefs kept a runner
SLOTS: Final = 50  # requests that a runner works on at the same time, until the configuration says otherwise
SPILL_BURDEN_SHARE: Final = 0.9  # of a home's slots in use, past which its openings spill (ours)
CHARS_A_TOKEN: Final = 4  # rough length of a token, for prefill estimates
PREFILL_TOKENS_A_S: Final = 8_000  # default speed of prefill, until the configuration says otherwise
READ_AGAIN_SHARE: Final = 3.0  # of an opening's reading time: how long it waits for its home rather than be read twice
SECOND_HOMES: Final = 2  # further homes tried past an overloaded one; few, so that an opening does not smear
HEAD_SAME_MS: Final = 50  # two grants nearer than this are the same seat, told over differing ways
SEAT_MS: Final = 2_000  # how long a seat is thought to last before any was seen
PACE_SHARE: Final = 0.2  # weight of the newest first token in a runner's pace; a few suffice to see it slow
PACE_HALF_MS: Final = 3_000  # a runner that gets no work because it was slow is tried again soon
PACE_MOST: Final = 20.0  # a pace past this says no more; also bounds what one late answer can do
PACE_TOLD: Final = 1.2  # a pace under this is not worth telling peers
PACE_LEAST_MS: Final = 400.0  # shorter ones say little of pace: a peer's prefill may be untold for a beat or two
SPEED_FADE: Final = 0.05  # weight of a slower observation in a learned speed; a faster one counts whole
SPEED_FIRST_MS: Final = 50.0  # to a first token beside reading, until a short prompt showed it
SPEED_SHORT_TOKENS: Final = 600  # prompts up to this tell what a first token takes
SPEED_LONG_TOKENS: Final = 2_000  # prompts from this on tell how fast a runner reads
SPEED_TOKENS_A_MS: Final = 40.0  # of a present accelerator, until a long prompt showed it
SMOOTH_SHARE: Final = 0.1  # weight of the newest observation in a running mean
REPORT_TRUST_SHARE: Final = 0.5  # weight of a late report's excess over what the nodes themselves know

# Seats and tries
DUE_DEFAULT_MS: Final = 10_000  # first token due when the caller names none
DUE_LEAST_MS: Final = 50  # a due under this cannot be met by any runner
DUE_MOST_MS: Final = 120_000  # a due over this is a mistake
RETRY_AFTER_LEAST_S: Final = 1  # refused callers come back within ...
RETRY_AFTER_MOST_S: Final = 4  # ... this spread, so that a crowd does not return together
TRIES_WINDOW_MS: Final = 10_000  # the brief's ten seconds
TRIES_SHARE: Final = 0.15  # under the brief's fifth, with room for callers that count differently
TRIES_FLOOR: Final = 3  # a node: a few dozen over the fleet
BODY_MOST_BYTES: Final = 1024 * 1024  # thirteen thousand tokens are about 60 kB
HEAD_MOST_BYTES: Final = 16 * 1024  # of a request's head; cookies and long paths fit
REQUEST_ID_MOST: Final = 128  # characters of a caller's request id
SENT_KEEP_MS: Final = 600_000  # how long a request id sent to a runner is remembered; callers' retries come far sooner
SENT_MOST: Final = 100_000  # of them a node; ten minutes at ten times a node's share of today's traffic

# Stopping
STOP_LOOK_MS: Final = 20  # between two looks at whether a stopping node has anything under way
STOP_CLOSE_MS: Final = 300  # a stopping node's connections close within this once nothing is under way
STOP_END_MS: Final = 1_000  # of the grace time, for what follows the streams: closing, leaving, the interpreter's end
STOP_TAKES_MOST_MS: Final = 2_800  # after its SIGTERM a node takes requests no longer: the platform counts 3 s
STOP_SETTLE_MS: Final = 500  # after unready and before the door closes: the platform looks again meanwhile
ANSWER_MOST_MS: Final = 600_000  # default bound of one answer; a summary of a large file takes a few minutes
ANSWER_LEAST_MS: Final = 10_000  # a bound under this would cut ordinary answers
ANSWER_LONGEST_MS: Final = 3_600_000  # the longest that an operator may allow; a stop may have to wait for it
CALLER_STILL_MS: Final = 30_000  # a caller that neither sends nor reads for this long has its connection closed

# Bounds of what an operator may configure
TRIES_SHARE_MOST: Final = 0.2  # the brief's fifth
SPILL_SHARE_LEAST: Final = 0.1  # below it every home would spill at once
HOT_SET_MOST: Final = 64  # openings; more is no longer a small set
HOT_SHARE_LEAST: Final = 0.01  # of one home; what needs less is not popular
HOT_SHARE_MOST: Final = 1.0  # of one home; past it an opening has outgrown its home for certain
SLOTS_MOST: Final = 10_000  # of a runner; more is a mistake
TIMEOUT_MOST_MS: Final = 3_600_000  # of a route; the longest answer that may be allowed
ROUTE_RUNNERS_MOST: Final = 100  # that one request may be sent to; more is a mistake
WEIGHT_MOST: Final = 1_000_000  # of a route's target; more is a mistake
PREFILL_MOST_TOKENS_A_S: Final = 10_000_000  # of a runner; more is a mistake

# The brief's limits, for the checkers; on purpose none of the code under test uses them
BRIEF_LEAVING_MS: Final = 3_000  # a leaving runner gets no new work after this
BRIEF_IN_EFFECT_MS: Final = 2_000  # an acknowledged change is in effect after this
BRIEF_BACK_MS: Final = 250  # after this a node does not go back to an older change
BRIEF_TRIES_WINDOW_MS: Final = 10_000  # any ten seconds
BRIEF_TRIES_SHARE: Final = 0.2  # extra tries of the traffic in them
BRIEF_TRIES_FLOOR: Final = 36  # and a few dozen

# The rehearsal
CLOCK_SLACK_MS: Final = 1.0  # clocks of rehearsed machines start far apart; their sums round by less than this
SIM_AGAIN_MS: Final = 200.0  # the least time after which TCP sends again what was lost
SIM_SEGMENT_BYTES: Final = 16_384  # what a thin rehearsed link passes on at once; some ten packets
SIM_WINDOW_BYTES: Final = 65_536  # what a rehearsed connection holds unread before its sender has to wait
LOOK_MS: Final = 250  # how often the stand-in platform looks at a node's readiness
CALLER_WAIT_S: Final = 60  # a stand-in caller's patience, far past any due
REPLAY_WAIT_S: Final = 120  # a replayed request's patience
SCENE_READ_MS: Final = 400  # between two confirmed reads in a scene: some before, in and after each fault
STORM_MS: Final = 12_000  # a storm's length: some thirty faults
STORM_OPERATORS: Final = 3  # enough for races on every base
OPERATORS_STORM_MS: Final = 25_000  # a storm of many operators: the longest cut, and a while before and after it
OPERATORS_CUT_MS: Final = 20_000  # what users reported: a control node cut off for some twenty seconds
OPERATORS_UNDER_WAY_MOST: Final = 8  # sendings of one order under way at once
OPERATORS_LATE_ORDERS: Final = 300  # more than the orders that a document remembers, so that some are forgotten
STAGE_HOST: Final = "127.0.0.1"  # a staged fleet lives on this machine only
STAGE_PORT: Final = 17_100  # its ports begin here, far from what is commonly used
STAGE_READ_MS: Final = 250  # between two confirmed reads of a staged fleet: a few in each lease
STAGE_SENDINGS_MOST: Final = 5  # sendings of one change before a staged operator gives it up
