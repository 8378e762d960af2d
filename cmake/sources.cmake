# The C++ sources, and a build folder that follows their contents.

# The folders of the sources that the daemon is built from.
set(DAEMON_FOLDERS src platform app)

# Lists the C++ sources below folders, as paths relative to a root.
function(list_sources RESULT ROOT)
  set(PATTERNS)
  foreach(FOLDER IN LISTS ARGN)
    list(APPEND PATTERNS ${ROOT}/${FOLDER}/*.cpp ${ROOT}/${FOLDER}/*.hpp)
  endforeach()
  file(GLOB_RECURSE SOURCES RELATIVE ${ROOT} ${PATTERNS})
  list(SORT SOURCES)
  set(${RESULT} "${SOURCES}" PARENT_SCOPE)
endfunction()

# Sets the time of each source to now if its contents differ from those of the
# last configuration, or if its time is earlier. Build tools compare times only:
# a source that was restored with an earlier time, such as that of its commit,
# would not be compiled if the build folder holds a later build of other sources.
function(refresh_sources ROOT BUILD)
  set(RECORD ${BUILD}/sources.txt)
  set(KNOWN)
  if(EXISTS ${RECORD})
    file(STRINGS ${RECORD} KNOWN)
  elseif(NOT EXISTS ${BUILD}/CMakeCache.txt)
    set(NOTHING_BUILT TRUE)
  endif()
  foreach(LINE IN LISTS KNOWN)
    string(REGEX MATCH "^([0-9]+) ([0-9a-f]+) (.+)$" LINE "${LINE}")
    set(SECONDS_${CMAKE_MATCH_3} ${CMAKE_MATCH_1})
    set(DIGEST_${CMAKE_MATCH_3} ${CMAKE_MATCH_2})
  endforeach()
  list_sources(SOURCES ${ROOT} ${ARGN})
  set(LINES)
  foreach(SOURCE IN LISTS SOURCES)
    file(SHA256 ${ROOT}/${SOURCE} DIGEST)
    file(TIMESTAMP ${ROOT}/${SOURCE} SECONDS "%s" UTC)
    if(NOT NOTHING_BUILT AND (NOT DIGEST STREQUAL "${DIGEST_${SOURCE}}" OR
                              SECONDS LESS "${SECONDS_${SOURCE}}"))
      file(TOUCH_NOCREATE ${ROOT}/${SOURCE})
      file(TIMESTAMP ${ROOT}/${SOURCE} SECONDS "%s" UTC)
    endif()
    string(APPEND LINES "${SECONDS} ${DIGEST} ${SOURCE}\n")
  endforeach()
  file(WRITE ${RECORD} "${LINES}")
endfunction()
