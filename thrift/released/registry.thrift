namespace cpp balsampoint.peer.generated

// What hosts tell each other about backend servers.
struct RegistryHolding {
  1: required string model
  2: required string version
  3: required list<string> adapters
  4: required i32 firstLayer
  5: required i32 endLayer
  6: required i32 modelLayers
}

struct RegistryLoad {
  1: required i32 running
  2: required i32 queued
  3: required i64 kvTokensUsed
}

struct RegistryServer {
  1: required string id
  2: required i64 incarnation
  3: required i32 kind
  4: required string address
  5: required string zone
  6: required string acceleratorKind
  7: required double layerTokensPerSecond
  8: required list<RegistryHolding> holdings
  9: required string serviceId
  10: required i64 kvCapacityTokens
  11: required i32 state
  12: required RegistryLoad load
  13: required bool checksFencing
}

struct RegistryClaim {
  1: required i64 incarnation
  2: required i64 version
  3: required bool live
  4: required string owner
}

struct RegistryEntry {
  1: required RegistryServer server
  2: required RegistryClaim claim
}

struct RegistryDelta {
  1: required list<RegistryEntry> entries
}

struct RegistryLoadReport {
  1: required string server
  2: required i64 incarnation
  3: required RegistryLoad load
}

struct RegistryLoads {
  1: required list<RegistryLoadReport> reports
}

struct RegistryRenewals {
  1: required list<RegistryLoadReport> reports
}

struct RegistryDigest {
  1: required i64 hash
  2: required list<string> doubted
}

// The age is in nanoseconds.
struct RegistryContact {
  1: required string host
  2: required i64 age
}

struct RegistryContacts {
  1: required list<RegistryContact> contacts
}

struct RegistryVersion {
  1: required string server
  2: required RegistryClaim claim
}

struct RegistryVersions {
  1: required list<RegistryVersion> versions
}

struct RegistryRequest {
  1: required list<string> servers
}

struct RegistryStage {
  1: required string model
  2: required string version
  3: required list<string> adapters
  4: required i32 firstLayer
  5: required i32 endLayer
  6: required i32 servers
  7: required double layerTokensPerSecond
  8: required i64 kvTokensFree
  9: required i32 queued
}

struct RegistryService {
  1: required string serviceId
  2: required i32 servers
}

struct RegistrySummary {
  1: required string zone
  2: required i64 number
  3: required list<RegistryStage> stages
  4: required list<RegistryService> services
  5: required bool relay
}

union RegistryMessage {
  1: RegistryDelta delta
  2: RegistryLoads loads
  3: RegistryRenewals renewals
  4: RegistryDigest digest
  5: RegistryVersions versions
  6: RegistryRequest request
  7: RegistrySummary summary
  8: RegistryContacts contacts
}
