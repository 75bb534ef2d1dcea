#pragma once

/** @brief Forward declarations of the core types. */
namespace balsampoint {

template<typename Tag>
class BasicId;

template<typename Tag>
class BasicNumber;

class Failure;

struct Error;
struct LayerRange;

} // namespace balsampoint
