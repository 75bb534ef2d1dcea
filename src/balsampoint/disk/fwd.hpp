#pragma once

/** @brief The data folder: checksummed records that survive a crash. */
namespace balsampoint::disk {

class FileDisk;
struct FolderOwner;

template<typename D>
class BasicLogStore;

} // namespace balsampoint::disk
