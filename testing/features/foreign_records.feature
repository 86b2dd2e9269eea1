Feature: Records of other writers do not disturb an entry
  Guards against entries that end, or stop following the store, because of one record that another writer left.

  Scenario Outline: A registration with <fault> is left out, and the others hold
    Given a store with a valid registration and one with <fault>
    When an entry reads the store, and then its change
    Then it has the valid target only, and has logged the other record
    And the changes can be relayed to other entries

    Examples:
      | fault                                 |
      | lists nested 100000 deep              |
      | objects nested 100000 deep            |
      | a number of 400 digits                |
      | a number of 31 digits                 |
      | the number 1e300                      |
      | the number 1e400                      |
      | a negative number                     |
      | no slots                              |
      | a birth of 5000 digits                |
      | an endless cold start                 |
      | port 70000                            |
      | port 0                                |
      | port -1                               |
      | a port of 5000 digits                 |
      | no port                               |
      | a host name                           |
      | a list as its state                   |
      | an object as its state                |
      | an unknown state                      |
      | another type of info                  |
      | a line break in its id                |
      | an id that is not ASCII               |
      | an empty id                           |
      | a lone surrogate as its service       |
      | bytes that are not JSON               |
      | no bytes                              |

  Scenario Outline: The key of a reader slot with the number <number> is ignored
    Then neither a reader slot <number> nor its removal changes anything

    Examples:
      | number |
      | ²      |
      | -1     |
      | 1e3    |
      | x      |
      | 9999999999999999999999 |

  Scenario: A deeply nested member record of another writer is skipped
    Then members are read from records of which one is nested 100000 deep

  Scenario: A task of an entry that fails unexpectedly is started again
    Given an entry whose store client raises an unexpected error once
    When it runs for 3 s
    Then it has the routes, and has logged the failed task
