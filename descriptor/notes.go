package descriptor

// Numbers of log events. docs/EVENTS.md describes each of them.
const (
	NoteStarted          = 1001
	NoteReady            = 1002
	NoteLeaving          = 1003
	NoteStopped          = 1004
	NoteSignal           = 1005
	NoteLoad             = 1006
	NoteReloaded         = 1007
	NoteReloadFailed     = 1008
	NoteLibrary          = 1009
	NoteTurnedAway       = 1010
	NotePanic            = 1013
	NoteRevision         = 2001
	NoteStoreUnreachable = 2002
	NoteStoreReachable   = 2003
	NoteDocumentInvalid  = 2004
	NoteWatching         = 2005
	NoteProofLost        = 2006
	NoteProofFound       = 2007
	NoteStoreRestored    = 2010
	NoteMemberNew        = 3001
	NoteMemberSuspect    = 3002
	NoteMemberDead       = 3003
	NoteMemberLeft       = 3004
	NoteLinkRefused      = 3006
	NoteCallers          = 3007
	NoteCallersDiffer    = 3008
	NoteEjected          = 4001
	NoteReinstated       = 4003
	NoteAvoided          = 4004
	NoteDown             = 4005
	NoteUp               = 4006
	NoteDrain            = 4007
	NotePoison           = 4008
	NoteTrial            = 4009
	NotePaused           = 4010
	NoteCrash            = 4011
	NoteCrashWithdrawn   = 4012
	NoteLimit            = 4013
	NoteQuotaExceeded    = 4014
	NoteQuotaSilent      = 4015
	NoteQuotaPlan        = 4016
	NoteYield            = 4017
	NoteAdmitted         = 6001
	NoteQueued           = 6002
	NoteDispatched       = 6003
	NoteAnswered         = 6004
	NoteAttemptFailed    = 6005
	NoteRefused          = 6006
	NoteCancelled        = 6007
	NoteEnded            = 6008
	NoteLogDropped       = 6009
	NoteTallyLate        = 5001
	NoteTallyFinal       = 5002
)
